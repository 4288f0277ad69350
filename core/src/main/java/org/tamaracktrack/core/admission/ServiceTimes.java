package org.tamaracktrack.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.tamaracktrack.core.id.RequestClassId;

/** Moving averages of how long requests hold a slot and take to their first token. */
final class ServiceTimes {
    private static final double NEWEST_WEIGHT = 0.1;

    private final Map<RequestClassId, Double> slotMillis = new HashMap<>();
    private final Map<RequestClassId, Double> firstTokenMillis = new HashMap<>();
    private double meanSlotMillis;

    private ServiceTimes() {}

    static ServiceTimes empty() {
        return new ServiceTimes();
    }

    void ended(RequestClassId requestClass, long millis) {
        slotMillis.merge(requestClass, (double) millis, ServiceTimes::average);
        meanSlotMillis = meanSlotMillis == 0 ? millis : average(meanSlotMillis, millis);
    }

    void firstToken(RequestClassId requestClass, long millis) {
        firstTokenMillis.merge(requestClass, (double) millis, ServiceTimes::average);
    }

    // Zero until something has ended: refusing on a guess would refuse the first callers for ever.
    double slotMillis(RequestClassId requestClass) {
        return slotMillis.getOrDefault(requestClass, meanSlotMillis);
    }

    double meanSlotMillis() {
        return meanSlotMillis;
    }

    long firstTokenMillis(RequestClassId requestClass) {
        return Math.round(firstTokenMillis.getOrDefault(requestClass, 0.0));
    }

    private static double average(double old, double newest) {
        return old + NEWEST_WEIGHT * (newest - old);
    }
}
