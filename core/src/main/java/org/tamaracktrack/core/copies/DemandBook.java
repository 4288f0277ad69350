package org.tamaracktrack.core.copies;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.id.ModelId;

/**
 * How much each model and adapter is asked for, over all daemons. Owned by the control thread.
 *
 * <p>Two averages are kept: a quick one that follows demand as it moves within seconds, and a slow
 * one by which a model that is asked for every few seconds is not taken for unused.
 */
public final class DemandBook {
    private static final double QUICK_MILLIS = 2_500;
    private static final double SLOW_MILLIS = 15_000;

    /** What daemons say waits is dropped when they do not say so again. */
    private static final long WAITING_MILLIS = 1_500;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double FORGOTTEN = 1e-4;

    private final Map<ModelNeed, Rate> rates = new HashMap<>();
    private final Map<String, Waiting> waitingByHost = new HashMap<>();

    private record Waiting(Map<ModelNeed, Integer> needs, long atMillis) {}

    private static final class Rate {
        private double quick;
        private double slow;
        private long atMillis;

        void add(int count, long nowMillis) {
            fade(nowMillis);
            quick += count * MILLIS_PER_SECOND / QUICK_MILLIS;
            slow += count * MILLIS_PER_SECOND / SLOW_MILLIS;
        }

        void fade(long nowMillis) {
            double passed = Math.max(0, nowMillis - atMillis);
            quick *= Math.exp(-passed / QUICK_MILLIS);
            slow *= Math.exp(-passed / SLOW_MILLIS);
            atMillis = nowMillis;
        }
    }

    private DemandBook() {}

    /**
     * Returns a book without demand.
     *
     * @return the book
     */
    public static DemandBook empty() {
        return new DemandBook();
    }

    /**
     * A daemon said what it saw.
     *
     * @param host the daemon's host
     * @param arrived requests since it last said so
     * @param waiting requests that wait for a copy
     * @param nowMillis the monotonic time
     */
    public void add(
            String host,
            Map<ModelNeed, Integer> arrived,
            Map<ModelNeed, Integer> waiting,
            long nowMillis) {
        arrived.forEach(
                (need, count) ->
                        rates.computeIfAbsent(need, name -> new Rate()).add(count, nowMillis));
        waitingByHost.put(host, new Waiting(Map.copyOf(waiting), nowMillis));
    }

    /**
     * Brings the averages up to the present.
     *
     * @param nowMillis the monotonic time
     */
    public void fade(long nowMillis) {
        rates.values().forEach(rate -> rate.fade(nowMillis));
        rates.values().removeIf(rate -> rate.slow < FORGOTTEN);
        waitingByHost.values().removeIf(said -> nowMillis - said.atMillis() > WAITING_MILLIS);
    }

    /**
     * Returns requests a second by model, as of the last seconds.
     *
     * @return the rates
     */
    public Map<ModelId, Double> quick() {
        return rates.entrySet().stream()
                .collect(
                        Collectors.groupingBy(
                                entry -> entry.getKey().model(),
                                Collectors.summingDouble(entry -> entry.getValue().quick)));
    }

    /**
     * Returns requests a second by model, as of the last half minute.
     *
     * @return the rates
     */
    public Map<ModelId, Double> slow() {
        return rates.entrySet().stream()
                .collect(
                        Collectors.groupingBy(
                                entry -> entry.getKey().model(),
                                Collectors.summingDouble(entry -> entry.getValue().slow)));
    }

    /**
     * Returns requests a second for one adapter.
     *
     * @param need model and adapter
     * @return the rate, of the last half minute
     */
    public double slow(ModelNeed need) {
        Rate rate = rates.get(need);
        return rate == null ? 0 : rate.slow;
    }

    /**
     * Returns the requests that wait for a copy.
     *
     * @return their number by need
     */
    public Map<ModelNeed, Integer> waiting() {
        return waitingByHost.values().stream()
                .flatMap(said -> said.needs().entrySet().stream())
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, Integer::sum));
    }
}
