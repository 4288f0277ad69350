package org.tamaracktrack.core.copies;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.tamaracktrack.core.id.ModelId;

/**
 * Tracks the recent peak demand of each model, and the share of the peaks that is present at one
 * time. Owned by the control thread.
 *
 * <p>Demand concentrates on a few models at a time and moves among the same models every few
 * seconds. Replicas that are unloaded each time have to be loaded again when demand returns.
 */
final class PeakDemand {
    /**
     * Time constant of the peaks: long compared with the seconds for which demand stays on one
     * model, short compared with an hour.
     */
    private static final double PEAK_DECAY_MILLIS = 60_000;

    /** Time constant of the current share. It is slow, so that outages have little effect. */
    private static final double SHARE_TIME_CONSTANT_MILLIS = 20_000;

    /** Share that is assumed before any demand was observed. */
    private static final double INITIAL_SHARE = 0.5;

    private static final double MIN_TRACKED_RATE = 0.05;

    private final Map<ModelId, Double> peaks = new HashMap<>();
    private double currentShare = INITIAL_SHARE;
    private long updatedAtMillis;

    private PeakDemand() {}

    static PeakDemand empty() {
        return new PeakDemand();
    }

    /** Updates the peaks with the current requests per second by model. */
    void update(Map<ModelId, Double> rates, long nowMillis) {
        double elapsedMillis = Math.max(0, nowMillis - updatedAtMillis);
        updatedAtMillis = nowMillis;
        double decayFactor = Math.exp(-elapsedMillis / PEAK_DECAY_MILLIS);
        peaks.replaceAll((model, peak) -> peak * decayFactor);
        rates.forEach((model, rate) -> peaks.merge(model, rate, Math::max));
        peaks.values().removeIf(peak -> peak < MIN_TRACKED_RATE);
        updateShare(rates, elapsedMillis);
    }

    private void updateShare(Map<ModelId, Double> rates, double elapsedMillis) {
        double currentRate = rates.values().stream().mapToDouble(Double::doubleValue).sum();
        double peakRate = peaks.values().stream().mapToDouble(Double::doubleValue).sum();
        if (currentRate < MIN_TRACKED_RATE || peakRate < MIN_TRACKED_RATE) {
            return;
        }
        double weight =
                1
                        - Math.exp(
                                -Math.min(elapsedMillis, SHARE_TIME_CONSTANT_MILLIS)
                                        / SHARE_TIME_CONSTANT_MILLIS);
        currentShare += weight * (currentRate / peakRate - currentShare);
    }

    /** Restores a peak that another daemon measured. */
    void restore(ModelId model, double peak, long nowMillis) {
        updatedAtMillis = Math.max(updatedAtMillis, nowMillis);
        peaks.merge(model, peak, Math::max);
    }

    /** Returns the recent peak demand of a model in requests per second. */
    double peak(ModelId model) {
        return peaks.getOrDefault(model, 0.0);
    }

    /** Returns the expected requests per second by model, given the current ones. */
    Map<ModelId, Double> expected(Map<ModelId, Double> rates) {
        return peaks.entrySet().stream()
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey,
                                peak ->
                                        Math.max(
                                                rates.getOrDefault(peak.getKey(), 0.0),
                                                currentShare * peak.getValue())));
    }
}
