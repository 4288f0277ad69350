package org.tamaracktrack.core.quota;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.id.ClientAccountId;

class QuotaLedgerTest {
    private static final long START_MILLIS = 100_000;
    private static final long VOTE_INTERVAL_MILLIS = 100;

    private final QuotaLedger ledger = QuotaLedger.empty(0);
    private long nowMillis = START_MILLIS;
    private long number;

    private static QuotaLimit limit(long version, double rate) {
        return new QuotaLimit(ClientAccountId.of("north"), version, rate, rate);
    }

    private void voteFor(long millis, double... shares) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += VOTE_INTERVAL_MILLIS) {
            for (int voter = 0; voter < shares.length; voter++) {
                ledger.recordVote("voter-" + voter, shares[voter], nowMillis, nowMillis);
            }
        }
    }

    private QuotaMessage.Answer ask(long version, double rate, long cost) {
        return ledger.answer(
                "voter-0", new QuotaMessage.Ask(++number, limit(version, rate), cost), nowMillis);
    }

    private boolean admits(double rate, long cost) {
        return ask(1, rate, cost).outcome() == Admission.Outcome.ADMITTED;
    }

    @Nested
    class Start {

        // Guards against a second burst right after another coordinator has admitted one.
        @Test
        void shouldStartWithoutRoom() {
            ledger.recordVote("voter-0", 1, nowMillis, nowMillis);

            assertThat(ask(1, 1_000, 400).outcome()).isEqualTo(Admission.Outcome.UNDECIDED);
            voteFor(500, 1);
            assertThat(admits(1_000, 400)).isTrue();
        }

        @Test
        void shouldRefuseAsOverTheLimitOnceStarted() {
            voteFor(3_000, 1);

            assertThat(admits(1_000, 1_000)).isTrue();
            QuotaMessage.Answer answer = ask(1, 1_000, 500);
            assertThat(answer.outcome()).isEqualTo(Admission.Outcome.OVER_LIMIT);
            assertThat(answer.retryAfterMillis()).isEqualTo(500);
        }

        // Guards against a coordinator that admits by votes which were moved during its freeze.
        @Test
        void shouldHaveNeitherAuthorityNorRoomAfterFreeze() {
            voteFor(3_000, 1);
            assertThat(admits(1_000, 100)).isTrue();

            ledger.restartAfterFreeze();

            assertThat(ledger.authority()).isEqualTo(0);
            assertThat(admits(1_000, 100)).isFalse();
        }
    }

    @Nested
    class Authority {

        // Guards against earning at the full rate for a time in which votes were missing.
        @Test
        void shouldEarnOnlyInProportionToVotes() {
            voteFor(2_000, 0.25, 0.25);

            assertThat(ledger.authority()).isEqualTo(0.5);
            assertThat(admits(1_000, 501)).isFalse();
            assertThat(admits(1_000, 500)).isTrue();
        }

        @Test
        void shouldLoseAuthorityAndRoomWhenVotesExpire() {
            voteFor(3_000, 1);
            assertThat(admits(1_000, 100)).isTrue();
            nowMillis += 2 * QuotaLedger.VOTE_VALIDITY_MILLIS;
            ledger.advance(nowMillis);

            assertThat(ledger.authority()).isEqualTo(0);
            voteFor(200, 1);
            assertThat(admits(1_000, 600)).isFalse();
        }
    }

    @Nested
    class LateVotes {

        // Guards against a vote that lay unread while its daemon began to follow another one.
        @Test
        void shouldIgnoreVoteThatMayHaveMoved() {
            long sentMillis = nowMillis - QuotaLedger.VOTE_VALIDITY_MILLIS - 1;

            ledger.recordVote("voter-0", 1, sentMillis, nowMillis);

            assertThat(ledger.authority()).isEqualTo(0);
        }

        // Guards against a coordinator without votes because its thread is a little late.
        @Test
        void shouldCountVoteThatHasWaitedShortly() {
            ledger.recordVote(
                    "voter-0", 1, nowMillis - QuotaLedger.VOTE_VALIDITY_MILLIS, nowMillis);

            assertThat(ledger.authority()).isEqualTo(1);
        }
    }

    @Nested
    class Limits {

        @Test
        void shouldApplyLowerLimitOfNewerVersionAtOnce() {
            voteFor(3_000, 1);
            assertThat(ask(1, 10_000, 100).outcome()).isEqualTo(Admission.Outcome.ADMITTED);

            assertThat(ask(2, 200, 150).outcome()).isEqualTo(Admission.Outcome.ADMITTED);
            assertThat(ask(2, 200, 100).outcome()).isEqualTo(Admission.Outcome.OVER_LIMIT);
            assertThat(ask(1, 10_000, 100).outcome()).isEqualTo(Admission.Outcome.OVER_LIMIT);
        }

        // Guards against a request above the burst that could never run.
        @Test
        void shouldAdmitRequestAboveBurstWhenBucketIsFull() {
            voteFor(3_000, 1);

            assertThat(admits(1_000, 2_500)).isTrue();
            voteFor(1_500, 1);
            assertThat(admits(1_000, 100)).isFalse();
            voteFor(300, 1);
            assertThat(admits(1_000, 100)).isTrue();
        }
    }

    @Nested
    class Repeats {

        // Guards against charging twice for a question whose answer was lost.
        @Test
        void shouldGiveSameAnswerToRepeatedQuestion() {
            voteFor(3_000, 1);
            QuotaMessage.Ask ask = new QuotaMessage.Ask(7, limit(1, 1_000), 600);

            assertThat(ledger.answer("voter-0", ask, nowMillis).outcome())
                    .isEqualTo(Admission.Outcome.ADMITTED);
            assertThat(ledger.answer("voter-0", ask, nowMillis).outcome())
                    .isEqualTo(Admission.Outcome.ADMITTED);
            assertThat(admits(1_000, 400)).isTrue();
        }

        @Test
        void shouldGiveBackOnlyOnce() {
            voteFor(3_000, 1);
            QuotaMessage.Ask ask = new QuotaMessage.Ask(7, limit(1, 1_000), 600);
            ledger.answer("voter-0", ask, nowMillis);
            assertThat(admits(1_000, 400)).isTrue();

            ledger.giveBack("voter-0", new QuotaMessage.GiveBack(7));
            ledger.giveBack("voter-0", new QuotaMessage.GiveBack(7));

            assertThat(admits(1_000, 600)).isTrue();
            assertThat(admits(1_000, 1)).isFalse();
        }
    }
}
