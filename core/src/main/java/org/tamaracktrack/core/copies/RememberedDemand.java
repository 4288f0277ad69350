package org.tamaracktrack.core.copies;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.tamaracktrack.core.id.ModelId;

/**
 * What each model was asked for at most of late, and how likely it is asked for as much again.
 * Owned by the control thread.
 *
 * <p>Demand stands on a few models at a time and moves among the same ones every few seconds.
 * Copies that are given away whenever it moves on have to be loaded again when it returns.
 */
final class RememberedDemand {
    /** Long against the seconds for which demand stands on one model, short against an hour. */
    private static final double FORGET_MILLIS = 60_000;

    /** The share of remembered demand that is there now moves slowly, so outages do not count. */
    private static final double SHARE_MILLIS = 20_000;

    /** Before anything was seen, a silent model is as likely to be asked for as not. */
    private static final double FIRST_SHARE = 0.5;

    private static final double FORGOTTEN = 0.05;

    private final Map<ModelId, Double> peaks = new HashMap<>();
    private double share = FIRST_SHARE;
    private long atMillis;

    private RememberedDemand() {}

    static RememberedDemand empty() {
        return new RememberedDemand();
    }

    /** Takes in requests a second by model, as of now. */
    void note(Map<ModelId, Double> rates, long nowMillis) {
        double passed = Math.max(0, nowMillis - atMillis);
        atMillis = nowMillis;
        double kept = Math.exp(-passed / FORGET_MILLIS);
        peaks.replaceAll((model, peak) -> peak * kept);
        rates.forEach((model, rate) -> peaks.merge(model, rate, Math::max));
        peaks.values().removeIf(peak -> peak < FORGOTTEN);
        noteShare(rates, passed);
    }

    private void noteShare(Map<ModelId, Double> rates, double passed) {
        double now = rates.values().stream().mapToDouble(Double::doubleValue).sum();
        double most = peaks.values().stream().mapToDouble(Double::doubleValue).sum();
        if (now < FORGOTTEN || most < FORGOTTEN) {
            return;
        }
        double weight = 1 - Math.exp(-Math.min(passed, SHARE_MILLIS) / SHARE_MILLIS);
        share += weight * (now / most - share);
    }

    /** Takes in a peak that was seen elsewhere. */
    void recall(ModelId model, double peak, long nowMillis) {
        atMillis = Math.max(atMillis, nowMillis);
        peaks.merge(model, peak, Math::max);
    }

    /** The most requests a second that a model was asked for of late. */
    double peak(ModelId model) {
        return peaks.getOrDefault(model, 0.0);
    }

    /** Requests a second to be expected by model, given those of now. */
    Map<ModelId, Double> expected(Map<ModelId, Double> rates) {
        return peaks.entrySet().stream()
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey,
                                peak ->
                                        Math.max(
                                                rates.getOrDefault(peak.getKey(), 0.0),
                                                share * peak.getValue())));
    }
}
