package org.tamaracktrack.core.retry;

import java.util.EnumSet;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import org.tamaracktrack.core.error.ErrorCode;

/**
 * Decides whether a failed attempt is retried, and after which delay. The caller of the policy
 * never sends a further attempt to a target that had one before.
 */
public final class RetryPolicy {
    /** Upper bound of the attempts of a request. */
    public static final int MAX_ATTEMPTS = 4;

    private static final Backoff BACKOFF = Backoff.of(20, 500);

    /** Refusals which show that the routing hint of the entry daemon was wrong. */
    private static final Set<ErrorCode> WRONG_HINT_CODES =
            EnumSet.of(
                    ErrorCode.LEAVING,
                    ErrorCode.TARGET_UNREACHABLE,
                    ErrorCode.NOT_READY,
                    ErrorCode.FENCED,
                    ErrorCode.ENGINE_UNAVAILABLE,
                    ErrorCode.MODEL_NOT_RESIDENT);

    /** Refusals for lack of capacity, which another target may have. */
    private static final Set<ErrorCode> CAPACITY_CODES =
            EnumSet.of(ErrorCode.OVERLOADED, ErrorCode.CANNOT_MEET_CLASS, ErrorCode.ACCOUNT_LIMIT);

    /** Failures after which an idempotent request may be run again. */
    private static final Set<ErrorCode> RETRYABLE_CODES =
            EnumSet.of(
                    ErrorCode.OUTCOME_UNKNOWN,
                    ErrorCode.ANSWER_CUT,
                    ErrorCode.CONNECTION_CLOSED,
                    ErrorCode.ENGINE_UNAVAILABLE);

    private final RetryBudget budget;

    private RetryPolicy(RetryBudget budget) {
        this.budget = budget;
    }

    /**
     * Returns a policy.
     *
     * @param budget the retry budget of the process
     * @return the policy
     */
    public static RetryPolicy of(RetryBudget budget) {
        Objects.requireNonNull(budget, "budget is null");
        return new RetryPolicy(budget);
    }

    /**
     * Decides about a retry after an attempt that was refused and did not run.
     *
     * @param code the reason of the refusal
     * @param attempts the number of attempts so far
     * @param nowMillis the time in milliseconds
     * @param seed seed of the jitter
     * @return the delay before the next attempt in milliseconds; empty when there is none
     */
    public OptionalLong afterRefusal(ErrorCode code, int attempts, long nowMillis, long seed) {
        if (attempts >= MAX_ATTEMPTS) {
            return OptionalLong.empty();
        }
        // The first correction is not charged to the budget, so that requests survive the departure
        // of a target or the unloading of a model. Later ones are charged, so that a hint that
        // stays wrong cannot multiply the load.
        if (WRONG_HINT_CODES.contains(code) && attempts == 1) {
            return OptionalLong.of(0);
        }
        if (WRONG_HINT_CODES.contains(code) || CAPACITY_CODES.contains(code)) {
            return delayFromBudget(attempts, nowMillis, seed);
        }
        return OptionalLong.empty();
    }

    /**
     * Decides about a retry after an attempt of an idempotent request that ended without an answer
     * and may have run.
     *
     * @param code the failure
     * @param attempts the number of attempts so far
     * @param nowMillis the time in milliseconds
     * @param seed seed of the jitter
     * @return the delay before the next attempt in milliseconds; empty when there is none
     */
    public OptionalLong afterLostAnswer(ErrorCode code, int attempts, long nowMillis, long seed) {
        return attempts < MAX_ATTEMPTS && RETRYABLE_CODES.contains(code)
                ? delayFromBudget(attempts, nowMillis, seed)
                : OptionalLong.empty();
    }

    /**
     * Returns whether a refusal is for lack of capacity. Such a refusal is more informative for the
     * caller than that no further target could run the request.
     *
     * @param code the reason of the refusal
     * @return true when capacity is lacking
     */
    public static boolean isCapacityRefusal(ErrorCode code) {
        return CAPACITY_CODES.contains(code);
    }

    private OptionalLong delayFromBudget(int attempts, long nowMillis, long seed) {
        return budget.tryAcquire(nowMillis)
                ? OptionalLong.of(BACKOFF.delayMillis(attempts, seed))
                : OptionalLong.empty();
    }
}
