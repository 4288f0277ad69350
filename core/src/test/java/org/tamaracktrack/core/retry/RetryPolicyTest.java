package org.tamaracktrack.core.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;

class RetryPolicyTest {

    // Guards against retries that multiply the load while all targets refuse all attempts: without
    // the budget, each request would become four. Retries stay within a tenth of the requests, a
    // few per second, and the initial tokens.
    @Property(seed = "31", tries = 50)
    void shouldLimitRetriesToOneTenthWhenAllAttemptsAreRefused(
            @ForAll @IntRange(min = 100, max = 20_000) int requests,
            @ForAll @IntRange(min = 1, max = 60) int seconds) {
        RetryBudget budget = RetryBudget.of(0);
        RetryPolicy policy = RetryPolicy.of(budget);
        int retries = 0;
        for (int request = 0; request < requests; request++) {
            long now = (long) request * seconds * 1_000 / requests;
            budget.earn();
            int attempts = 1;
            while (policy.afterRefusal(ErrorCode.OVERLOADED, attempts, now, request).isPresent()) {
                attempts++;
                retries++;
            }
        }

        assertThat(retries).isAtMost(requests / 10 + 2 * seconds + 11);
    }

    @Test
    void shouldCorrectOneWrongHintWithoutBudget() {
        RetryBudget budget = RetryBudget.of(0);
        RetryPolicy policy = RetryPolicy.of(budget);
        IntStream.range(0, 200).forEach(attempt -> budget.tryAcquire(0));

        assertThat(policy.afterRefusal(ErrorCode.LEAVING, 1, 0, 0)).hasValue(0);
        assertThat(policy.afterRefusal(ErrorCode.LEAVING, 2, 0, 0)).isEmpty();
    }

    @Test
    void shouldNotRetryWhenFailureIsIndependentOfTarget() {
        RetryPolicy policy = RetryPolicy.of(RetryBudget.of(0));

        assertThat(policy.afterRefusal(ErrorCode.DEADLINE_BEFORE_START, 1, 0, 0)).isEmpty();
        assertThat(policy.afterLostAnswer(ErrorCode.DEADLINE_WHILE_RUNNING, 1, 0, 0)).isEmpty();
    }

    @Property(seed = "32")
    void shouldReturnDelayBetweenHalfOfBoundAndBound(
            @ForAll @IntRange(min = 1, max = 100) int failures,
            @ForAll long seed,
            @ForAll @LongRange(min = 1, max = 1_000) long first) {
        long delay = Backoff.of(first, 5_000).delayMillis(failures, seed);
        long bound = Math.min(5_000, first << Math.min(20, failures - 1));

        assertThat(delay).isAtLeast(bound / 2);
        assertThat(delay).isAtMost(bound);
    }
}
