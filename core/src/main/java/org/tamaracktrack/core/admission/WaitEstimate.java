package org.tamaracktrack.core.admission;

import java.util.Collection;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.RequestClassId;

/** Estimates how long a request waits, from what is ahead of it in the fair order. */
final class WaitEstimate {
    private final ServiceTimes times;

    private WaitEstimate(ServiceTimes times) {
        this.times = times;
    }

    static WaitEstimate of(ServiceTimes times) {
        return new WaitEstimate(times);
    }

    /**
     * Estimates the wait of a request that is at a position (from 1) in its account's queue. Of
     * every other account, as many requests go ahead as its share earns meanwhile.
     */
    long waitMillis(
            AdmissionLimits limits,
            Collection<ClassQueue> classes,
            int running,
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
        return waitOfRank(limits, classes, running, requestClass, rank);
    }

    /** Estimates the wait of a request that comes after all that wait in its class. */
    long classWaitMillis(
            AdmissionLimits limits,
            Collection<ClassQueue> classes,
            int running,
            RequestClassId requestClass) {
        double rank =
                1
                        + classes.stream()
                                .filter(queue -> queue.requestClass().equals(requestClass))
                                .mapToInt(ClassQueue::waiting)
                                .sum();
        return waitOfRank(limits, classes, running, requestClass, rank);
    }

    private long waitOfRank(
            AdmissionLimits limits,
            Collection<ClassQueue> classes,
            int running,
            RequestClassId requestClass,
            double rank) {
        int slots = Math.max(1, limits.concurrency());
        double ahead = rank - Math.max(0, slots - running);
        if (ahead <= 0) {
            return 0;
        }
        double weight = limits.limitsOf(requestClass).weight();
        double otherWeights =
                classes.stream()
                        .filter(queue -> !queue.requestClass().equals(requestClass))
                        .filter(queue -> queue.waiting() > 0)
                        .mapToDouble(queue -> limits.limitsOf(queue.requestClass()).weight())
                        .sum();
        int otherWaiting =
                classes.stream()
                        .filter(queue -> !queue.requestClass().equals(requestClass))
                        .mapToInt(ClassQueue::waiting)
                        .sum();
        double byShare =
                ahead * times.slotMillis(requestClass) * (weight + otherWeights) / weight / slots;
        double behindAll = (ahead + otherWaiting) * times.meanSlotMillis() / slots;
        return Math.round(Math.min(byShare, behindAll));
    }
}
