package org.tamaracktrack.core.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;

class RetryRuleTest {

    // Every target refuses every attempt, for a long time: without the budget each request would
    // become four. What is added stays within a tenth, the few a second and the store at the start.
    @Property(seed = "31", tries = 50)
    void shouldAddNoMoreThanATenthWhenEverythingIsRefused(
            @ForAll @IntRange(min = 100, max = 20_000) int requests,
            @ForAll @IntRange(min = 1, max = 60) int seconds) {
        RetryBudget budget = RetryBudget.of(0);
        RetryRule rule = RetryRule.of(budget);
        int retries = 0;
        for (int request = 0; request < requests; request++) {
            long now = (long) request * seconds * 1_000 / requests;
            budget.earn();
            int attempts = 1;
            while (rule.afterRefusal(ErrorCode.OVERLOADED, attempts, now, request).isPresent()) {
                attempts++;
                retries++;
            }
        }

        assertThat(retries).isAtMost(requests / 10 + 2 * seconds + 11);
    }

    @Test
    void shouldCorrectOneWrongHintForNothingAndNoMore() {
        RetryBudget budget = RetryBudget.of(0);
        RetryRule rule = RetryRule.of(budget);
        IntStream.range(0, 200).forEach(any -> budget.take(0));

        assertThat(rule.afterRefusal(ErrorCode.LEAVING, 1, 0, 0)).hasValue(0);
        assertThat(rule.afterRefusal(ErrorCode.LEAVING, 2, 0, 0)).isEmpty();
    }

    @Test
    void shouldNotRetryWhenAnotherTargetWouldAnswerTheSame() {
        RetryRule rule = RetryRule.of(RetryBudget.of(0));

        assertThat(rule.afterRefusal(ErrorCode.DEADLINE_BEFORE_START, 1, 0, 0)).isEmpty();
        assertThat(rule.afterLoss(ErrorCode.DEADLINE_WHILE_RUNNING, 1, 0, 0)).isEmpty();
    }

    @Property(seed = "32")
    void shouldWaitBetweenHalfOfTheBoundAndTheBound(
            @ForAll @IntRange(min = 1, max = 100) int failures,
            @ForAll long seed,
            @ForAll @LongRange(min = 1, max = 1_000) long first) {
        long delay = Backoff.of(first, 5_000).delayMillis(failures, seed);
        long bound = Math.min(5_000, first << Math.min(20, failures - 1));

        assertThat(delay).isAtLeast(bound / 2);
        assertThat(delay).isAtMost(bound);
    }
}
