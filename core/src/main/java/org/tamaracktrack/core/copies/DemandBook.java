package org.tamaracktrack.core.copies;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.id.ModelId;

/**
 * How much each model and adapter is asked for, over all daemons. Owned by the control thread.
 *
 * <p>Two averages are kept: a quick one that follows demand as it moves within seconds, and a slow
 * one by which a model that is asked for every few seconds is not taken for unused. What a model
 * was asked for at most of late is remembered besides, since demand moves among the same models.
 */
public final class DemandBook {
    private static final double QUICK_MILLIS = 2_500;
    private static final double SLOW_MILLIS = 15_000;

    /** What daemons say waits is dropped when they do not say so again. */
    private static final long WAITING_MILLIS = 1_500;

    /** Twice the time of the quick average. */
    private static final long SETTLED_MILLIS = 5_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** What a request that can wait for a load counts against one that can't. */
    private static final double PATIENT = 0.25;

    private static final double FORGOTTEN = 1e-4;

    private final Map<ModelNeed, Rate> rates = new HashMap<>();
    private final Map<String, Waiting> waitingByHost = new HashMap<>();
    private final RememberedDemand remembered = RememberedDemand.empty();
    private final Set<ModelId> everUrgent = new HashSet<>();
    private final Set<ModelId> everPatient = new HashSet<>();

    private long firstMillis = Long.MAX_VALUE;

    private record Waiting(Map<ModelNeed, Integer> needs, long atMillis) {}

    private static final class Rate {
        private double quick;
        private double slow;
        private long atMillis;

        void add(double count, long nowMillis) {
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
     * What one daemon saw.
     *
     * @param urgent requests that have to be answered within seconds, since it last said so
     * @param patient requests that can wait for a copy to be loaded
     * @param waiting requests that wait for a copy now
     */
    public record Seen(
            Map<ModelNeed, Integer> urgent,
            Map<ModelNeed, Integer> patient,
            Map<ModelNeed, Integer> waiting) {

        /** Copies the maps. */
        public Seen {
            urgent = Map.copyOf(urgent);
            patient = Map.copyOf(patient);
            waiting = Map.copyOf(waiting);
        }
    }

    /**
     * A daemon said what it saw.
     *
     * @param host the daemon's host
     * @param seen what it saw
     * @param nowMillis the monotonic time
     */
    public void add(String host, Seen seen, long nowMillis) {
        remember(seen);
        if (!seen.urgent().isEmpty()) {
            firstMillis = Math.min(firstMillis, nowMillis);
        }
        seen.urgent().forEach((need, count) -> rate(need).add(count, nowMillis));
        seen.patient().forEach((need, count) -> rate(need).add(PATIENT * count, nowMillis));
        waitingByHost.put(host, new Waiting(seen.waiting(), nowMillis));
    }

    private Rate rate(ModelNeed need) {
        return rates.computeIfAbsent(need, name -> new Rate());
    }

    /**
     * Takes in which models were asked for at some time, however long ago.
     *
     * @param seen what a daemon saw
     */
    private void remember(Seen seen) {
        seen.urgent().keySet().forEach(need -> everUrgent.add(need.model()));
        seen.patient().keySet().forEach(need -> everPatient.add(need.model()));
    }

    /**
     * Takes in what another giver of orders wrote down by {@link #everAsked}.
     *
     * @param asked the models that were asked for, with their greatest rates
     * @param nowMillis the monotonic time
     */
    public void recall(Seen asked, long nowMillis) {
        remember(asked);
        asked.urgent().forEach((need, rate) -> remembered.recall(need.model(), rate, nowMillis));
    }

    /**
     * Returns which models were asked for at some time, to be remembered by whoever gives orders
     * next.
     *
     * @return each of them, with the greatest number of requests a second of late, at least one
     */
    public Seen everAsked() {
        return new Seen(greatest(everUrgent), greatest(everPatient), Map.of());
    }

    private Map<ModelNeed, Integer> greatest(Set<ModelId> models) {
        return models.stream()
                .collect(
                        Collectors.toMap(
                                model -> new ModelNeed(model, Optional.empty()),
                                model -> Math.max(1, (int) Math.ceil(remembered.peak(model)))));
    }

    /**
     * Returns what kind of requests have asked for a model.
     *
     * @param model the model
     * @return the kind
     */
    public AskedBy askedBy(ModelId model) {
        if (everUrgent.contains(model)) {
            return AskedBy.URGENT;
        }
        return everPatient.contains(model) ? AskedBy.PATIENT : AskedBy.NOBODY;
    }

    /**
     * Returns whether demand has been seen for long enough to tell which models are not asked for.
     *
     * @param nowMillis the monotonic time
     * @return true when it has
     */
    public boolean settled(long nowMillis) {
        return firstMillis != Long.MAX_VALUE && nowMillis - firstMillis >= SETTLED_MILLIS;
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
        remembered.note(quick(), nowMillis);
    }

    /**
     * Returns requests a second by model that are to be expected in the next seconds: those of now,
     * or what a model that has fallen silent may be asked for again.
     *
     * @return the rates
     */
    public Map<ModelId, Double> expected() {
        return remembered.expected(quick());
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
