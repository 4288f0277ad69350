package org.tamaracktrack.daemon.target;

import java.util.HashMap;
import java.util.Map;
import org.tamaracktrack.core.admission.Need;
import org.tamaracktrack.core.target.OrderKind;
import org.tamaracktrack.core.target.ResidencyChange;

/** A moving average of how long loads of models and of adapters take. */
final class LoadTimes {
    private static final double NEWEST_WEIGHT = 0.3;

    private final Map<ResidencyChange, Long> orderedAt = new HashMap<>();
    private double modelMillis;
    private double adapterMillis;

    private LoadTimes() {}

    static LoadTimes empty() {
        return new LoadTimes();
    }

    void ordered(ResidencyChange change, long nowMillis) {
        if (change.kind().isLoad()) {
            orderedAt.put(change, nowMillis);
        }
    }

    void done(ResidencyChange change, long nowMillis) {
        Long since = orderedAt.remove(change);
        if (since == null) {
            return;
        }
        if (change.kind() == OrderKind.LOAD_MODEL) {
            modelMillis = average(modelMillis, nowMillis - since);
        } else {
            adapterMillis = average(adapterMillis, nowMillis - since);
        }
    }

    void failed(ResidencyChange change) {
        orderedAt.remove(change);
    }

    private static double average(double old, long newest) {
        return old == 0 ? newest : old + NEWEST_WEIGHT * (newest - old);
    }

    /** How much longer the loads for a need that are under way will take, by the average. */
    long remainingMillis(Need need, long nowMillis) {
        return orderedAt.entrySet().stream()
                .filter(entry -> entry.getKey().model().equals(need.model()))
                .mapToLong(entry -> expectedMillis(need) - (nowMillis - entry.getValue()))
                .max()
                .orElse(0);
    }

    long expectedMillis(Need need) {
        return Math.round(need.adapter().isPresent() ? adapterMillis : modelMillis);
    }
}
