package org.tamaracktrack.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.tamaracktrack.core.id.RequestClassId;

/**
 * Keeps moving averages of how long requests occupy a slot and how long they take to their first
 * token.
 */
final class ServiceTimes {
    private static final double NEWEST_SAMPLE_WEIGHT = 0.1;

    private final Map<RequestClassId, Double> slotMillis = new HashMap<>();
    private final Map<RequestClassId, Double> firstTokenMillis = new HashMap<>();
    private double meanSlotMillis;

    private ServiceTimes() {}

    static ServiceTimes empty() {
        return new ServiceTimes();
    }

    void recordSlotTime(RequestClassId requestClass, long millis) {
        slotMillis.merge(requestClass, (double) millis, ServiceTimes::movingAverage);
        meanSlotMillis = meanSlotMillis == 0 ? millis : movingAverage(meanSlotMillis, millis);
    }

    void recordFirstToken(RequestClassId requestClass, long millis) {
        firstTokenMillis.merge(requestClass, (double) millis, ServiceTimes::movingAverage);
    }

    // Zero until a request has ended: refusing requests by a guessed value could refuse all
    // requests, and then no measurement would ever replace the guess.
    double slotMillis(RequestClassId requestClass) {
        return slotMillis.getOrDefault(requestClass, meanSlotMillis);
    }

    double meanSlotMillis() {
        return meanSlotMillis;
    }

    long firstTokenMillis(RequestClassId requestClass) {
        return Math.round(firstTokenMillis.getOrDefault(requestClass, 0.0));
    }

    private static double movingAverage(double average, double sample) {
        return average + NEWEST_SAMPLE_WEIGHT * (sample - average);
    }
}
