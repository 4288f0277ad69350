package org.tamaracktrack.core.admission;

import java.util.Collection;
import java.util.function.DoubleToLongFunction;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.RequestClassId;

/** Estimates how long a request waits, from the requests ahead of it in the fair order. */
final class WaitEstimator {
    private WaitEstimator() {}

    static WaitEstimator create() {
        return new WaitEstimator();
    }

    /**
     * The number of free slots, and the rate at which occupied slots become free, or 0 if unknown.
     */
    record Slots(int free, double releasesPerMillisecond) {}

    /**
     * Returns the estimated wait in milliseconds of a request at a position (from 1) in the queue
     * of its account. Of every other account, as many requests are assumed to start earlier as its
     * share entitles it to.
     */
    long waitMillis(
            AdmissionLimits limits,
            Collection<ClassQueue> classes,
            Slots slots,
            RequestClassId requestClass,
            ClientAccountId account,
            int position) {
        int share = limits.limitsOf(account).share();
        double rank =
                position
                        + classes.stream()
                                .filter(queue -> queue.requestClass().equals(requestClass))
                                .flatMap(queue -> queue.accounts().stream())
                                .filter(queue -> !queue.account().equals(account))
                                .mapToDouble(
                                        queue ->
                                                Math.min(
                                                        queue.waiting().size(),
                                                        (double) position
                                                                * limits.limitsOf(queue.account())
                                                                        .share()
                                                                / share))
                                .sum();
        return waitByRank(limits, classes, slots, requestClass).applyAsLong(rank);
    }

    /**
     * Returns the estimated wait in milliseconds of a request that is queued behind all waiting
     * requests of its class.
     */
    long classWaitMillis(
            AdmissionLimits limits,
            Collection<ClassQueue> classes,
            Slots slots,
            RequestClassId requestClass) {
        double rank =
                1
                        + classes.stream()
                                .filter(queue -> queue.requestClass().equals(requestClass))
                                .mapToInt(ClassQueue::waiting)
                                .sum();
        return waitByRank(limits, classes, slots, requestClass).applyAsLong(rank);
    }

    /**
     * Returns a function from a position in the start order of a class (from 1) to the estimated
     * wait in milliseconds. A class is assumed to get its share of the slots, and to wait at most
     * for all requests that wait in any class.
     */
    DoubleToLongFunction waitByRank(
            AdmissionLimits limits,
            Collection<ClassQueue> classes,
            Slots slots,
            RequestClassId requestClass) {
        if (slots.releasesPerMillisecond() <= 0) {
            return rank -> 0;
        }
        int waitingInOtherClasses = waitingInOtherClasses(classes, requestClass);
        double slotShare = slotShareOf(limits, classes, requestClass);
        return rank -> {
            double ahead = rank - slots.free();
            return ahead <= 0
                    ? 0
                    : Math.round(
                            Math.min(ahead / slotShare, ahead + waitingInOtherClasses)
                                    / slots.releasesPerMillisecond());
        };
    }

    private static double slotShareOf(
            AdmissionLimits limits, Collection<ClassQueue> classes, RequestClassId requestClass) {
        double weight = limits.limitsOf(requestClass).weight();
        double otherWeights =
                classes.stream()
                        .filter(queue -> !queue.requestClass().equals(requestClass))
                        .filter(queue -> queue.waiting() > 0)
                        .mapToDouble(queue -> limits.limitsOf(queue.requestClass()).weight())
                        .sum();
        return weight / (weight + otherWeights);
    }

    private static int waitingInOtherClasses(
            Collection<ClassQueue> classes, RequestClassId requestClass) {
        return classes.stream()
                .filter(queue -> !queue.requestClass().equals(requestClass))
                .mapToInt(ClassQueue::waiting)
                .sum();
    }
}
