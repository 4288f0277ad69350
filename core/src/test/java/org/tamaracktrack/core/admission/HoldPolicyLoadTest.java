package org.tamaracktrack.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Each test names the load that it plays against the hold policy. */
class HoldPolicyLoadTest {
    private static final HeldLoad.Kind DRAFTS = new HeldLoad.Kind("a", 0, 403, 1_460);
    private static final HeldLoad.Kind SUMMARIES = new HeldLoad.Kind("a", 1, 1_002, 646);
    private static final HeldLoad.Kind BATCH = new HeldLoad.Kind("a", 2, 12_003, 1_460);

    private static Predicate<HeldLoad.Job> of(HeldLoad.Kind kind) {
        return job -> job.kind.equals(kind);
    }

    @Nested
    class PatientBurst {

        // Load: patient work bursts from 2.5/s to 10/s for 3 s beside urgent work of half of the
        // capacity. Guards against a burst that delays urgent work or is never served.
        @Test
        void shouldServeUrgentWorkAsWithoutBurstWhenPatientWorkBursts() {
            HeldLoad quiet = HeldLoad.withPolicy().add(DRAFTS, 8, 0, 20_000).play(20_000);
            HeldLoad burst =
                    HeldLoad.withPolicy()
                            .add(DRAFTS, 8, 0, 20_000)
                            .add(BATCH, 2.5, 0, 20_000)
                            .add(BATCH, 7.5, 5_000, 8_000)
                            .play(33_000);

            assertThat(burst.shareInTime(of(DRAFTS))).isEqualTo(quiet.shareInTime(of(DRAFTS)));
            assertThat(burst.shareInTime(of(BATCH))).isEqualTo(1.0);
        }
    }

    @Nested
    class Overload {

        // Load: two priorities that together need 1.5 times the capacity, for 20 s. Guards against
        // less urgent work that is served at the cost of more urgent work.
        @Test
        void shouldServeMoreUrgentWorkFirstWhenCapacityIsShort() {
            HeldLoad policy = overload(HeldLoad.withPolicy());
            HeldLoad fifo = overload(HeldLoad.firstInFirstOut());

            assertThat(policy.shareServed(of(DRAFTS))).isAtLeast(policy.shareServed(of(SUMMARIES)));
            assertThat(policy.shareInTime(of(DRAFTS))).isAtLeast(policy.shareInTime(of(SUMMARIES)));
            assertThat(policy.shareInTime(of(DRAFTS))).isAtLeast(0.95);
            assertThat(policy.shareInTime(job -> true))
                    .isGreaterThan(fifo.shareInTime(job -> true));
        }

        private HeldLoad overload(HeldLoad load) {
            return load.add(DRAFTS, 12.8, 0, 20_000).add(SUMMARIES, 29, 0, 20_000).play(25_000);
        }

        // Load: one urgent kind that needs 1.5 times the capacity. Guards against a queue in which
        // all requests become late.
        @Test
        void shouldServeMostOfCapacityInTimeWhenOneKindOverloadsTarget() {
            HeldLoad policy = HeldLoad.withPolicy().add(DRAFTS, 25.7, 0, 20_000).play(25_000);

            assertThat(policy.shareInTime(of(DRAFTS))).isAtLeast(0.6);
        }
    }

    @Nested
    class GreedyAccount {

        // Load: one of four client accounts sends 7 times its usual load, together 1.45 times the
        // capacity. Guards against an account that displaces the requests of the others.
        @Test
        void shouldServeOtherAccountsAsOnQuietDayWhenOneSendsSevenfold() {
            double quiet = accounts(2.5).shareInTime(job -> !job.kind.account().equals("greedy"));
            double greedy = accounts(17.5).shareInTime(job -> !job.kind.account().equals("greedy"));

            assertThat(quiet).isEqualTo(1.0);
            assertThat(greedy).isAtLeast(0.95);
        }

        private HeldLoad accounts(double greedyPerSecond) {
            HeldLoad load = HeldLoad.withPolicy();
            long firstMillis = 0;
            for (String account : List.of("b", "c", "d")) {
                firstMillis += 130;
                load.add(new HeldLoad.Kind(account, 0, 403, 1_460), 2.5, firstMillis, 20_000);
            }
            HeldLoad.Kind greedy = new HeldLoad.Kind("greedy", 0, 403, 1_460);
            return load.add(greedy, greedyPerSecond, 0, 20_000).play(25_000);
        }
    }

    @Nested
    class EndOfLoad {

        // Load: urgent work of all capacity ends after 5 s and begins again 5 s later, beside
        // patient work. Guards against idle capacity beside held work, and against patient work
        // that yields late.
        @Test
        void shouldTakeAndYieldCapacityWithinSecondWhenUrgentWorkEndsAndBegins() {
            HeldLoad load =
                    HeldLoad.withPolicy()
                            .add(DRAFTS, 16, 0, 5_000)
                            .add(BATCH, 14, 1_000, 6_000)
                            .add(DRAFTS, 12, 10_000, 15_000)
                            .play(35_000);

            assertThat(load.shareInTime(of(DRAFTS))).isAtLeast(0.98);
            assertThat(
                            load.jobs(
                                            job ->
                                                    job.kind.equals(BATCH)
                                                            && job.sentAtMillis >= 5_000
                                                            && job.sentAtMillis < 6_000)
                                    .size())
                    .isAtLeast(14);
            assertThat(load.shareInTime(of(BATCH))).isEqualTo(1.0);
        }
    }
}
