package org.tamaracktrack.core.retry;

import java.util.EnumSet;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import org.tamaracktrack.core.error.ErrorCode;

/**
 * Whether an attempt that ended may be followed by another, and after how long. The caller of the
 * rule never gives the next attempt to a target that has had one.
 */
public final class RetryRule {
    /** A request has no more attempts than this. */
    public static final int MOST_ATTEMPTS = 4;

    private static final Backoff BACKOFF = Backoff.of(20, 500);

    /** Refusals by which the entry daemon learns that its hint was wrong. */
    private static final Set<ErrorCode> CORRECTING =
            EnumSet.of(
                    ErrorCode.LEAVING,
                    ErrorCode.TARGET_UNREACHABLE,
                    ErrorCode.NOT_READY,
                    ErrorCode.FENCED,
                    ErrorCode.ENGINE_UNAVAILABLE,
                    ErrorCode.MODEL_NOT_RESIDENT);

    /** Refusals for want of room, which another target may have. */
    private static final Set<ErrorCode> CROWDED =
            EnumSet.of(ErrorCode.OVERLOADED, ErrorCode.CANNOT_MEET_CLASS, ErrorCode.ACCOUNT_LIMIT);

    /** Failures after which an idempotent request may be run again. */
    private static final Set<ErrorCode> REPEATABLE =
            EnumSet.of(
                    ErrorCode.OUTCOME_UNKNOWN,
                    ErrorCode.ANSWER_CUT,
                    ErrorCode.CONNECTION_CLOSED,
                    ErrorCode.ENGINE_UNAVAILABLE);

    private final RetryBudget budget;

    private RetryRule(RetryBudget budget) {
        this.budget = budget;
    }

    /**
     * Returns a rule.
     *
     * @param budget the budget of the process
     * @return the rule
     */
    public static RetryRule of(RetryBudget budget) {
        Objects.requireNonNull(budget, "budget is null");
        return new RetryRule(budget);
    }

    /**
     * An attempt did not run.
     *
     * @param code why
     * @param attempts how many attempts there have been
     * @param nowMillis the time
     * @param seed decides the jitter
     * @return the delay before the next attempt; empty when there may be none
     */
    public OptionalLong afterRefusal(ErrorCode code, int attempts, long nowMillis, long seed) {
        if (attempts >= MOST_ATTEMPTS) {
            return OptionalLong.empty();
        }
        // The first correction is free, so that a departure or an unload does not cost its
        // requests; later ones take from the budget, so that a hint that stays wrong can't
        // multiply the load.
        if (CORRECTING.contains(code) && attempts == 1) {
            return OptionalLong.of(0);
        }
        if (CORRECTING.contains(code) || CROWDED.contains(code)) {
            return paid(attempts, nowMillis, seed);
        }
        return OptionalLong.empty();
    }

    /**
     * An attempt of an idempotent request ended without an answer, and may have run.
     *
     * @param code what failed
     * @param attempts how many attempts there have been
     * @param nowMillis the time
     * @param seed decides the jitter
     * @return the delay before the next attempt; empty when there may be none
     */
    public OptionalLong afterLoss(ErrorCode code, int attempts, long nowMillis, long seed) {
        return attempts < MOST_ATTEMPTS && REPEATABLE.contains(code)
                ? paid(attempts, nowMillis, seed)
                : OptionalLong.empty();
    }

    /**
     * Returns whether a refusal is for want of room, which tells a caller more than that a further
     * target could not help.
     *
     * @param code why an attempt was refused
     * @return true when it is
     */
    public static boolean forWantOfRoom(ErrorCode code) {
        return CROWDED.contains(code);
    }

    private OptionalLong paid(int attempts, long nowMillis, long seed) {
        return budget.take(nowMillis)
                ? OptionalLong.of(BACKOFF.delayMillis(attempts, seed))
                : OptionalLong.empty();
    }
}
