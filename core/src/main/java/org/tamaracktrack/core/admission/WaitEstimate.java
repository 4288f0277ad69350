package org.tamaracktrack.core.admission;

import java.util.Collection;
import java.util.function.DoubleToLongFunction;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.RequestClassId;

/** Estimates how long a request waits, from what is ahead of it in the fair order. */
final class WaitEstimate {
    private WaitEstimate() {}

    static WaitEstimate create() {
        return new WaitEstimate();
    }

    /** How many slots are free, and how often one that is taken becomes free; 0 if not known. */
    record Slots(int free, double releasesPerMilli) {}

    /**
     * Estimates the wait of a request that is at a position (from 1) in its account's queue. Of
     * every other account, as many requests go ahead as its share earns meanwhile.
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
        return byRank(limits, classes, slots, requestClass).applyAsLong(rank);
    }

    /** Estimates the wait of a request that comes after all that wait in its class. */
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
        return byRank(limits, classes, slots, requestClass).applyAsLong(rank);
    }

    /**
     * Returns the wait by the place in the start order of a class, from 1. A class gets its part of
     * the slots, and waits at most for all that waits anywhere.
     */
    DoubleToLongFunction byRank(
            AdmissionLimits limits,
            Collection<ClassQueue> classes,
            Slots slots,
            RequestClassId requestClass) {
        if (slots.releasesPerMilli() <= 0) {
            return rank -> 0;
        }
        int others = waitingInOthers(classes, requestClass);
        double part = partOf(limits, classes, requestClass);
        return rank -> {
            double ahead = rank - slots.free();
            return ahead <= 0
                    ? 0
                    : Math.round(Math.min(ahead / part, ahead + others) / slots.releasesPerMilli());
        };
    }

    private static double partOf(
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

    private static int waitingInOthers(
            Collection<ClassQueue> classes, RequestClassId requestClass) {
        return classes.stream()
                .filter(queue -> !queue.requestClass().equals(requestClass))
                .mapToInt(ClassQueue::waiting)
                .sum();
    }
}
