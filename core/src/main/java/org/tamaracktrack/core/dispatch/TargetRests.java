package org.tamaracktrack.core.dispatch;

import java.util.Collection;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.tamaracktrack.core.fleet.TargetIncarnation;

/**
 * The rests that targets have asked this daemon for. A rest belongs to one run of a target. Not
 * safe for use by several threads.
 */
public final class TargetRests {
    /** A longer rest is taken for a mistake of the target and cut to this. */
    static final long MAX_REST_MILLIS = 600_000;

    /**
     * Each daemon waits up to this fraction of a rest longer, so that daemons that were refused
     * together don't return together.
     */
    static final double SPREAD_RATIO = 0.2;

    /** Above the number of targets of the largest fleet. */
    static final int MAX_TARGETS = 4_096;

    private final Map<TargetIncarnation, TargetRest> rests = LruMap.of(MAX_TARGETS);

    private TargetRests() {}

    /**
     * Returns no rests.
     *
     * @return the rests
     */
    public static TargetRests empty() {
        return new TargetRests();
    }

    /**
     * Records that a target has asked for a rest. A statement during a rest can only extend it.
     *
     * @param target the target
     * @param restMillis the time for which it wants no request, in milliseconds, above 0
     * @param nowMillis the monotonic time in milliseconds
     * @param draw a random number from 0 to 1
     * @return whether a rest begins; false when it extends one that has not ended
     */
    public boolean recordRest(
            TargetIncarnation target, long restMillis, long nowMillis, double draw) {
        Objects.requireNonNull(target, "target is null");
        if (restMillis <= 0) {
            throw new IllegalArgumentException("restMillis must be positive: " + restMillis);
        }
        long believedMillis = Math.min(restMillis, MAX_REST_MILLIS);
        long untilMillis =
                nowMillis + believedMillis + (long) (believedMillis * SPREAD_RATIO * draw);
        Optional<TargetRest> current = find(target).filter(rest -> !rest.hasEnded(nowMillis));
        rests.put(
                target,
                current.map(rest -> rest.extendedTo(untilMillis))
                        .orElse(TargetRest.until(untilMillis)));
        return current.isEmpty();
    }

    /**
     * Returns whether a request may be sent to a target: it neither rests nor is a trial after its
     * rest under way.
     *
     * @param target the target
     * @param nowMillis the monotonic time in milliseconds
     * @return whether it may be sent
     */
    public boolean permits(TargetIncarnation target, long nowMillis) {
        return find(target).map(rest -> rest.permits(nowMillis)).orElse(true);
    }

    /**
     * Returns the time until a request may be sent to a target.
     *
     * @param target the target
     * @param nowMillis the monotonic time in milliseconds
     * @return the time in milliseconds; 0 if a request may be sent now
     */
    public long remainingMillis(TargetIncarnation target, long nowMillis) {
        return find(target).map(rest -> rest.remainingMillis(nowMillis)).orElse(0L);
    }

    /**
     * Returns the shortest time until a request may be sent to one of some targets.
     *
     * @param targets the targets
     * @param nowMillis the monotonic time in milliseconds
     * @return the time in milliseconds; empty if there is no target or one permits a request now
     */
    public OptionalLong shortestRemainingMillis(
            Collection<TargetIncarnation> targets, long nowMillis) {
        OptionalLong shortest =
                targets.stream().mapToLong(target -> remainingMillis(target, nowMillis)).min();
        return shortest.isPresent() && shortest.getAsLong() > 0 ? shortest : OptionalLong.empty();
    }

    /**
     * Records the first byte of a request. After a rest it is the trial that others wait for.
     *
     * @param target the target
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordSent(TargetIncarnation target, long nowMillis) {
        rests.computeIfPresent(target, (name, rest) -> rest.withTrial(nowMillis));
    }

    /**
     * Records an answer that asks for no rest. After a rest it ends the trials.
     *
     * @param target the target
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordAnswer(TargetIncarnation target, long nowMillis) {
        rests.computeIfPresent(target, (name, rest) -> rest.hasEnded(nowMillis) ? null : rest);
    }

    /**
     * Returns whether a target wants no request at all, not even a trial.
     *
     * @param target the target
     * @param nowMillis the monotonic time in milliseconds
     * @return whether its rest has not ended
     */
    public boolean isResting(TargetIncarnation target, long nowMillis) {
        return find(target).filter(rest -> !rest.hasEnded(nowMillis)).isPresent();
    }

    private Optional<TargetRest> find(TargetIncarnation target) {
        return Optional.ofNullable(rests.get(target));
    }
}
