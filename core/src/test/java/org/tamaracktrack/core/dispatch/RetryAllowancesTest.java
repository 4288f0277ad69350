package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.ServiceId;

class RetryAllowancesTest {
    private static final ServiceId SERVICE = ServiceId.of("service");
    private static final ServiceId OTHER = ServiceId.of("other");
    private static final FleetRetryBudget BUDGET = new FleetRetryBudget(0.2, 10_000, 0);

    private final RetryAllowances allowances = RetryAllowances.of(BUDGET, 0, 0);

    private void requests(int count, long atMillis) {
        IntStream.range(0, count)
                .forEach(
                        index ->
                                allowances
                                        .allowance(SERVICE, atMillis, atMillis)
                                        .request(atMillis));
    }

    private int takeAll(ServiceId service, long steadyMillis, long dayMillis) {
        RetryAllowance allowance = allowances.allowance(service, steadyMillis, dayMillis);
        int taken = 0;
        while (allowance.take(steadyMillis)) {
            taken++;
        }
        return taken;
    }

    @Nested
    class Earning {

        // Targets that end under many requests at once: most of them may go on elsewhere.
        @Test
        void shouldPayForManyRepeatsAtOnceAfterACalmTime() {
            IntStream.range(0, 500).forEach(index -> requests(1, index * 20L));

            assertThat(takeAll(SERVICE, 10_000, 10_000)).isAtLeast(30);
        }

        @Test
        void shouldPayWithTheRequestsOfTheSameServiceOnly() {
            requests(100, 1_000);

            assertThat(takeAll(OTHER, 1_000, 1_000)).isEqualTo(0);
        }

        // Guards against repeats of two bursts that come together in a window which has the
        // requests of one.
        @Test
        void shouldStayWithinTheRatioOfTheWindowBetweenTwoBursts() {
            requests(400, 9_500);
            int taken = takeAll(SERVICE, 10_000, 10_000);
            requests(400, 19_990);
            taken += takeAll(SERVICE, 19_990, 19_990);

            assertThat(taken).isAtMost(80);
        }

        // Guards against a window's worth at each daemon to which callers move in turn.
        @Test
        void shouldLapseAfterHalfAWindow() {
            requests(100, 1_000);

            assertThat(takeAll(SERVICE, 6_500, 6_500)).isEqualTo(0);
        }
    }

    @Nested
    class Freezes {

        // Guards against requests of before a freeze that look recent, since the steady clock
        // stood still too.
        @Test
        void shouldPayNothingWithRequestsOfBeforeAFreeze() {
            requests(100, 1_000);

            assertThat(takeAll(SERVICE, 1_100, 9_100)).isEqualTo(0);
        }

        // Guards against requests that were sent during a freeze and are read all at once after it,
        // also of a service that had none before.
        @Test
        void shouldPayNothingWithRequestsThatWereSentDuringAFreeze() {
            allowances.allowance(SERVICE, 100, 8_100);
            RetryAllowance other = allowances.allowance(OTHER, 150, 8_150);
            IntStream.range(0, 100).forEach(index -> other.request(150));

            assertThat(takeAll(OTHER, 150, 8_150)).isEqualTo(0);
        }

        @Test
        void shouldPayAgainWithRequestsThatFollow() {
            allowances.allowance(SERVICE, 100, 8_100);
            RetryAllowance allowance = allowances.allowance(SERVICE, 1_200, 9_200);
            IntStream.range(0, 100).forEach(index -> allowance.request(1_200));

            assertThat(takeAll(SERVICE, 1_200, 9_200)).isAtLeast(10);
        }
    }

    @Nested
    class Reload {

        // Guards against a budget that is spent once more by each daemon that reads new settings.
        @Test
        void shouldNotPayTwiceWhenTheBudgetChanges() {
            requests(100, 1_000);
            takeAll(SERVICE, 1_000, 1_000);

            allowances.limit(new FleetRetryBudget(0.19, 10_000, 1));

            assertThat(takeAll(SERVICE, 1_000, 1_000)).isEqualTo(0);
        }

        @Test
        void shouldPayByTheNewBudget() {
            allowances.limit(new FleetRetryBudget(0, 10_000, 0));
            requests(100, 1_000);

            assertThat(takeAll(SERVICE, 1_000, 1_000)).isEqualTo(0);
        }

        @Test
        void shouldRefuseABudgetWithoutAWindow() {
            TamaracktrackException wrong =
                    assertThrows(
                            TamaracktrackException.class, () -> new FleetRetryBudget(0.2, 0, 1));

            assertThat(wrong.code()).isEqualTo(ErrorCode.INVALID_SETTINGS);
        }
    }
}
