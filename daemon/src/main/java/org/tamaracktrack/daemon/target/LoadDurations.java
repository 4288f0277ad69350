package org.tamaracktrack.daemon.target;

import java.util.HashMap;
import java.util.Map;
import org.tamaracktrack.core.admission.Need;
import org.tamaracktrack.core.target.OrderKind;
import org.tamaracktrack.core.target.ResidencyChange;

/** Moving averages of the time that loads of models and of adapters take. */
final class LoadDurations {
    private static final double NEWEST_WEIGHT = 0.3;

    private final Map<ResidencyChange, Long> orderedAtMillisByChange = new HashMap<>();
    private double modelMillis;
    private double adapterMillis;

    private LoadDurations() {}

    static LoadDurations empty() {
        return new LoadDurations();
    }

    void ordered(ResidencyChange change, long nowMillis) {
        if (change.kind().isLoad()) {
            orderedAtMillisByChange.put(change, nowMillis);
        }
    }

    void completed(ResidencyChange change, long nowMillis) {
        Long orderedAtMillis = orderedAtMillisByChange.remove(change);
        if (orderedAtMillis == null) {
            return;
        }
        if (change.kind() == OrderKind.LOAD_MODEL) {
            modelMillis = average(modelMillis, nowMillis - orderedAtMillis);
        } else {
            adapterMillis = average(adapterMillis, nowMillis - orderedAtMillis);
        }
    }

    void failed(ResidencyChange change) {
        orderedAtMillisByChange.remove(change);
    }

    private static double average(double previous, long newest) {
        return previous == 0 ? newest : previous + NEWEST_WEIGHT * (newest - previous);
    }

    /** Returns the expected remaining milliseconds of the loads in progress for a need. */
    long remainingMillis(Need need, long nowMillis) {
        return orderedAtMillisByChange.entrySet().stream()
                .filter(entry -> entry.getKey().model().equals(need.model()))
                .mapToLong(entry -> expectedMillis(need) - (nowMillis - entry.getValue()))
                .max()
                .orElse(0);
    }

    long expectedMillis(Need need) {
        return Math.round(need.adapter().isPresent() ? adapterMillis : modelMillis);
    }
}
