package org.tamaracktrack.core.admission;

import java.util.Collection;
import java.util.function.DoubleToLongFunction;
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
        return byRank(limits, classes, running, requestClass).applyAsLong(rank);
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
        return byRank(limits, classes, running, requestClass).applyAsLong(rank);
    }

    /**
     * Returns the wait by the place in the start order of a class, from 1. A class gets its part of
     * the slots, and waits at most for all that waits anywhere.
     */
    DoubleToLongFunction byRank(
            AdmissionLimits limits,
            Collection<ClassQueue> classes,
            int running,
            RequestClassId requestClass) {
        int slots = Math.max(1, limits.concurrency());
        int free = Math.max(0, slots - running);
        int others = waitingInOthers(classes, requestClass);
        double byShare = millisForEach(limits, classes, requestClass);
        double byAll = times.meanSlotMillis() / slots;
        return rank -> {
            double ahead = rank - free;
            return ahead <= 0 ? 0 : Math.round(Math.min(ahead * byShare, (ahead + others) * byAll));
        };
    }

    private double millisForEach(
            AdmissionLimits limits, Collection<ClassQueue> classes, RequestClassId requestClass) {
        double weight = limits.limitsOf(requestClass).weight();
        double otherWeights =
                classes.stream()
                        .filter(queue -> !queue.requestClass().equals(requestClass))
                        .filter(queue -> queue.waiting() > 0)
                        .mapToDouble(queue -> limits.limitsOf(queue.requestClass()).weight())
                        .sum();
        return times.slotMillis(requestClass)
                * (weight + otherWeights)
                / weight
                / Math.max(1, limits.concurrency());
    }

    private static int waitingInOthers(
            Collection<ClassQueue> classes, RequestClassId requestClass) {
        return classes.stream()
                .filter(queue -> !queue.requestClass().equals(requestClass))
                .mapToInt(ClassQueue::waiting)
                .sum();
    }
}
