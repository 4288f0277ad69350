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
 * Tracks the demand for each model and adapter, over all daemons. Owned by the control thread.
 *
 * <p>Keeps two averages: a short-term one, which follows demand that moves within seconds, and a
 * long-term one, by which a model with a request every few seconds still counts as used. The recent
 * peak demand of each model is kept as well, because demand moves among the same models.
 */
public final class DemandTracker {
    private static final double SHORT_TERM_MILLIS = 2_500;
    private static final double LONG_TERM_MILLIS = 15_000;

    /** Time after which a daemon's waiting requests are dropped unless it reports them again. */
    private static final long WAITING_EXPIRY_MILLIS = 1_500;

    /** Twice the time constant of the short-term average. */
    private static final long SETTLED_MILLIS = 5_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Weight of a request that can wait for a load, against 1 for an urgent request. */
    private static final double PATIENT_WEIGHT = 0.25;

    private static final double MIN_TRACKED_RATE = 1e-4;

    private final Map<ModelNeed, Rate> rates = new HashMap<>();
    private final Map<String, WaitingRequests> waitingByHost = new HashMap<>();
    private final PeakDemand peaks = PeakDemand.empty();
    private final Set<ModelId> everRequestedUrgently = new HashSet<>();
    private final Set<ModelId> everRequestedPatiently = new HashSet<>();

    private long firstUrgentMillis = Long.MAX_VALUE;

    private record WaitingRequests(Map<ModelNeed, Integer> counts, long atMillis) {}

    private static final class Rate {
        private double shortTerm;
        private double urgentShortTerm;
        private double longTerm;
        private long atMillis;

        void add(double count, long nowMillis) {
            decay(nowMillis);
            shortTerm += count * MILLIS_PER_SECOND / SHORT_TERM_MILLIS;
            longTerm += count * MILLIS_PER_SECOND / LONG_TERM_MILLIS;
        }

        void addUrgent(double count, long nowMillis) {
            add(count, nowMillis);
            urgentShortTerm += count * MILLIS_PER_SECOND / SHORT_TERM_MILLIS;
        }

        void decay(long nowMillis) {
            double elapsedMillis = Math.max(0, nowMillis - atMillis);
            shortTerm *= Math.exp(-elapsedMillis / SHORT_TERM_MILLIS);
            urgentShortTerm *= Math.exp(-elapsedMillis / SHORT_TERM_MILLIS);
            longTerm *= Math.exp(-elapsedMillis / LONG_TERM_MILLIS);
            atMillis = nowMillis;
        }
    }

    private DemandTracker() {}

    /**
     * Returns a tracker without demand.
     *
     * @return the tracker
     */
    public static DemandTracker empty() {
        return new DemandTracker();
    }

    /**
     * Holds the request counts that one daemon reports.
     *
     * @param urgent requests since its last report that have to be answered within seconds
     * @param patient requests since its last report that can wait while a replica is loaded
     * @param waiting requests that wait for a replica now
     */
    public record DemandCounts(
            Map<ModelNeed, Integer> urgent,
            Map<ModelNeed, Integer> patient,
            Map<ModelNeed, Integer> waiting) {

        /** Copies the maps. */
        public DemandCounts {
            urgent = Map.copyOf(urgent);
            patient = Map.copyOf(patient);
            waiting = Map.copyOf(waiting);
        }
    }

    /**
     * Adds the report of a daemon.
     *
     * @param host the daemon's host
     * @param counts the reported request counts
     * @param nowMillis the monotonic time in milliseconds
     */
    public void add(String host, DemandCounts counts, long nowMillis) {
        recordRequestedModels(counts);
        if (!counts.urgent().isEmpty()) {
            firstUrgentMillis = Math.min(firstUrgentMillis, nowMillis);
        }
        counts.urgent().forEach((need, count) -> rate(need).addUrgent(count, nowMillis));
        counts.patient()
                .forEach((need, count) -> rate(need).add(PATIENT_WEIGHT * count, nowMillis));
        waitingByHost.put(host, new WaitingRequests(counts.waiting(), nowMillis));
    }

    private Rate rate(ModelNeed need) {
        return rates.computeIfAbsent(need, name -> new Rate());
    }

    /**
     * Records which models were requested at least once, without expiry.
     *
     * @param counts the request counts of a daemon
     */
    private void recordRequestedModels(DemandCounts counts) {
        counts.urgent().keySet().forEach(need -> everRequestedUrgently.add(need.model()));
        counts.patient().keySet().forEach(need -> everRequestedPatiently.add(need.model()));
    }

    /**
     * Restores the demand that a former holder of the duty stored, as returned by {@link
     * #everRequested}.
     *
     * @param requested the requested models with their peak rates
     * @param nowMillis the monotonic time in milliseconds
     */
    public void restore(DemandCounts requested, long nowMillis) {
        recordRequestedModels(requested);
        requested.urgent().forEach((need, rate) -> peaks.restore(need.model(), rate, nowMillis));
    }

    /**
     * Returns the models that were requested at least once, so that the next holder of the duty can
     * restore them.
     *
     * @return the recent peak rate of each, in requests per second, rounded up and at least 1
     */
    public DemandCounts everRequested() {
        return new DemandCounts(
                peakRates(everRequestedUrgently), peakRates(everRequestedPatiently), Map.of());
    }

    private Map<ModelNeed, Integer> peakRates(Set<ModelId> models) {
        return models.stream()
                .collect(
                        Collectors.toMap(
                                model -> new ModelNeed(model, Optional.empty()),
                                model -> Math.max(1, (int) Math.ceil(peaks.peak(model)))));
    }

    /**
     * Returns the urgency of the requests that a model has received.
     *
     * @param model the model
     * @return the urgency
     */
    public DemandUrgency demandUrgency(ModelId model) {
        if (everRequestedUrgently.contains(model)) {
            return DemandUrgency.URGENT;
        }
        return everRequestedPatiently.contains(model) ? DemandUrgency.PATIENT : DemandUrgency.NONE;
    }

    /**
     * Returns whether demand has been observed for long enough to identify unrequested models.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return true when it has
     */
    public boolean settled(long nowMillis) {
        return firstUrgentMillis != Long.MAX_VALUE
                && nowMillis - firstUrgentMillis >= SETTLED_MILLIS;
    }

    /**
     * Decays the averages to the given time, removes expired entries, and updates the peaks.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void decay(long nowMillis) {
        rates.values().forEach(rate -> rate.decay(nowMillis));
        rates.values().removeIf(rate -> rate.longTerm < MIN_TRACKED_RATE);
        waitingByHost
                .values()
                .removeIf(waiting -> nowMillis - waiting.atMillis() > WAITING_EXPIRY_MILLIS);
        peaks.update(shortTermDemand(), nowMillis);
    }

    /**
     * Returns the expected requests per second of the next seconds by model: the short-term rate,
     * or the share of the recent peak that a model without current requests may receive again.
     *
     * @return the rates
     */
    public Map<ModelId, Double> expectedDemand() {
        return peaks.expected(shortTermDemand());
    }

    /**
     * Returns the short-term average of requests per second by model, over about 2.5 s.
     *
     * @return the rates
     */
    public Map<ModelId, Double> shortTermDemand() {
        return rates.entrySet().stream()
                .collect(
                        Collectors.groupingBy(
                                entry -> entry.getKey().model(),
                                Collectors.summingDouble(entry -> entry.getValue().shortTerm)));
    }

    /**
     * Returns the short-term average of urgent requests per second by model, over about 2.5 s.
     *
     * @return the rates
     */
    public Map<ModelId, Double> urgentShortTermDemand() {
        return rates.entrySet().stream()
                .filter(entry -> entry.getValue().urgentShortTerm > 0)
                .collect(
                        Collectors.groupingBy(
                                entry -> entry.getKey().model(),
                                Collectors.summingDouble(
                                        entry -> entry.getValue().urgentShortTerm)));
    }

    /**
     * Returns the long-term average of requests per second by model, over about 15 s.
     *
     * @return the rates
     */
    public Map<ModelId, Double> longTermDemand() {
        return rates.entrySet().stream()
                .collect(
                        Collectors.groupingBy(
                                entry -> entry.getKey().model(),
                                Collectors.summingDouble(entry -> entry.getValue().longTerm)));
    }

    /**
     * Returns the long-term average of requests per second for one adapter.
     *
     * @param need the model and adapter
     * @return the rate; 0 when there is none
     */
    public double longTermDemand(ModelNeed need) {
        Rate rate = rates.get(need);
        return rate == null ? 0 : rate.longTerm;
    }

    /**
     * Returns the number of requests that wait for a replica, over all daemons.
     *
     * @return the number by need
     */
    public Map<ModelNeed, Integer> waiting() {
        return waitingByHost.values().stream()
                .flatMap(waiting -> waiting.counts().entrySet().stream())
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, Integer::sum));
    }
}
