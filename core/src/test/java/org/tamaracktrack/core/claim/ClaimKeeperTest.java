package org.tamaracktrack.core.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

class ClaimKeeperTest {
    private static final long WINDOW = 60_000;
    private static final ClaimLimits LIMITS = new ClaimLimits(1_000, 0, 0, 500);

    @Group
    @Nested
    class Schedules {
        // The caller sees one run of its request at most. Two or three daemons take the same keys
        // in any order while appends are lost, delayed or doubled, answers are lost, the log is
        // out, daemons crash, pause or fall behind retention: the first claim by offset decides.
        @Property(seed = "20261202", tries = 3_000)
        void shouldGrantAKeyOnceWithinItsWindow(
                @ForAll long seed, @ForAll @IntRange(min = 2, max = 3) int daemons) {
            new ClaimSchedule(seed, daemons, false).run();
        }

        // As before, but the key tells its age: then it is granted once for all time, since a key
        // that is too old to be remembered is refused.
        @Property(seed = "20261203", tries = 3_000)
        void shouldGrantAKeyOnceForeverWhenItTellsItsAge(@ForAll long seed) {
            new ClaimSchedule(seed, 3, true).run();
        }

        @Test
        void shouldBringAboutGrantsAndEachKindOfRefusal() {
            List<ClaimSchedule.Result> results = new ArrayList<>();
            for (long seed = 0; seed < 300; seed++) {
                results.add(new ClaimSchedule(seed, 3, false).run());
            }

            assertThat(results.stream().mapToInt(ClaimSchedule.Result::grants).sum())
                    .isGreaterThan(1_000);
            assertThat(results.stream().flatMap(result -> result.refusals().keySet().stream()))
                    .containsAtLeast(
                            ErrorCode.KEY_IN_USE,
                            ErrorCode.KEY_ALREADY_RAN,
                            ErrorCode.CLAIM_UNAVAILABLE);
        }

        // For longer runs: mvn test -pl core -Dtest=ClaimKeeperTest -DargLine="-Dschedules=100000"
        @Test
        void shouldHoldInAsManyDrawnSchedulesAsAskedFor() {
            Random seeds = new Random();
            for (int run = 0; run < Integer.getInteger("schedules", 0); run++) {
                long seed = seeds.nextLong();
                try {
                    new ClaimSchedule(seed, 2 + run % 2, run % 3 == 0).run();
                } catch (AssertionError failure) {
                    throw new AssertionError("seed " + seed + " run " + run, failure);
                }
            }
        }
    }

    private final IncarnationId owner = IncarnationId.of("entry-1");
    private final ClaimKeeper keeper = ClaimKeeper.of(owner, LIMITS, WINDOW, 0);
    private long tickets;

    private ClaimRequest request(String key, String body) {
        return new ClaimRequest(
                tickets++, ClientAccountId.of("andina"), key, body, OptionalLong.empty());
    }

    private LogEntry appended(List<ClaimAction> actions) {
        return ((ClaimAction.Append) actions.get(0)).entry();
    }

    private static List<ErrorCode> refusals(List<ClaimAction> actions) {
        return actions.stream()
                .filter(ClaimAction.Declined.class::isInstance)
                .map(action -> ((ClaimAction.Declined) action).code())
                .toList();
    }

    private List<ClaimAction> claimAndRead(ClaimRequest request, long offset) {
        LogEntry entry = appended(keeper.claim(request, 0, 0));
        keeper.appended(ClaimAction.Slot.CLAIMS, ClaimKeeper.AppendOutcome.WRITTEN, 1);
        return keeper.handle(LogRecord.of(offset, 100 + offset, entry), 2);
    }

    @Nested
    class Unavailable {
        @Test
        void shouldRefuseAtOnceWhenTheStreamHasNotBeenRead() {
            assertThat(refusals(keeper.claim(request("k", "b"), 0, 0)))
                    .containsExactly(ErrorCode.CLAIM_UNAVAILABLE);
        }

        // The caller may not be told "not run" for a key that ran: this daemon started after the
        // record of that run expired from the log's start but not from the window.
        @Test
        void shouldRefuseUntilTheWholeWindowHasBeenReadWhenRecordsExpired() {
            keeper.gap(7);
            keeper.handle(LogRecord.of(7, 1_000, new LogEntry.ClaimsTaken(owner, List.of())), 0);
            keeper.caughtUp();

            assertThat(refusals(keeper.claim(request("k", "b"), 0, 1_000 + WINDOW)))
                    .containsExactly(ErrorCode.CLAIM_UNAVAILABLE);
            assertThat(refusals(keeper.claim(request("k", "b"), 0, 1_001 + WINDOW))).isEmpty();
        }

        // A daemon reads claims before its configuration: until it knows the window it forgets
        // nothing, and from then on it waits for that window and no longer.
        @Test
        void shouldGoByTheWindowOfTheConfigurationWhenItComesLater() {
            ClaimKeeper early =
                    ClaimKeeper.of(owner, LIMITS, ClaimRegister.UNKNOWN_WINDOW_MILLIS, 0);
            early.gap(7);
            early.handle(LogRecord.of(7, 1_000, new LogEntry.ClaimsTaken(owner, List.of())), 0);
            early.caughtUp();
            assertThat(refusals(early.claim(request("k", "b"), 0, 1_001 + WINDOW)))
                    .containsExactly(ErrorCode.CLAIM_UNAVAILABLE);

            early.window(WINDOW);

            assertThat(refusals(early.claim(request("k", "b"), 0, 1_001 + WINDOW))).isEmpty();
        }

        @Test
        void shouldRefuseWhenTheRecordWasTwiceNotWritten() {
            keeper.caughtUp();
            keeper.claim(request("k", "b"), 0, 0);

            List<ClaimAction> first =
                    keeper.appended(
                            ClaimAction.Slot.CLAIMS, ClaimKeeper.AppendOutcome.NOT_WRITTEN, 1);
            List<ClaimAction> second =
                    keeper.appended(
                            ClaimAction.Slot.CLAIMS, ClaimKeeper.AppendOutcome.NOT_WRITTEN, 2);

            assertThat(refusals(first)).isEmpty();
            assertThat(refusals(second)).containsExactly(ErrorCode.CLAIM_UNAVAILABLE);
        }

        // The caller was told that nothing ran, so its key must be free again: the append whose
        // answer was lost shows up after the claim was given up, and is settled as not run.
        @Test
        void shouldFreeTheKeyWhenAClaimShowsUpAfterItWasGivenUp() {
            keeper.caughtUp();
            LogEntry entry = appended(keeper.claim(request("k", "b"), 0, 0));
            keeper.appended(ClaimAction.Slot.CLAIMS, ClaimKeeper.AppendOutcome.UNKNOWN, 1);

            assertThat(refusals(keeper.tick(1_000))).containsExactly(ErrorCode.CLAIM_UNAVAILABLE);
            assertThat(appended(keeper.handle(LogRecord.of(0, 5, entry), 1_100)))
                    .isEqualTo(
                            new LogEntry.ClaimsSettled(
                                    owner, List.of(new LogEntry.ClaimOutcome(0, Ran.NO))));
        }
    }

    @Nested
    class Keys {
        @Test
        void shouldGrantWhenReadBackAsTheFirst() {
            keeper.caughtUp();

            assertThat(claimAndRead(request("k", "b"), 0))
                    .containsExactly(new ClaimAction.Granted(0, 0));
        }

        @Test
        void shouldNameTheReasonWhenTheKeyIsTaken() {
            keeper.caughtUp();
            claimAndRead(request("k", "b"), 0);

            assertThat(refusals(keeper.claim(request("k", "b"), 3, 0)))
                    .containsExactly(ErrorCode.KEY_IN_USE);
            assertThat(refusals(keeper.claim(request("k", "other"), 3, 0)))
                    .containsExactly(ErrorCode.KEY_REUSED);

            LogEntry settled = appended(keeper.settle(0, Ran.YES, 4));
            keeper.handle(LogRecord.of(1, 200, settled), 5);
            assertThat(refusals(keeper.claim(request("k", "b"), 6, 0)))
                    .containsExactly(ErrorCode.KEY_ALREADY_RAN);
        }

        @Test
        void shouldFreeTheKeyWhenTheRequestDidNotRun() {
            keeper.caughtUp();
            claimAndRead(request("k", "b"), 0);
            LogEntry settled = appended(keeper.settle(0, Ran.NO, 4));
            keeper.handle(LogRecord.of(1, 200, settled), 5);

            assertThat(claimAndRead(request("k", "b"), 2))
                    .containsExactly(new ClaimAction.Granted(1, 1));
        }

        // The caller was told that nothing ran and that its key is free. Then a repeat of the first
        // append takes effect, long after: it must not take the key again for nobody.
        @Test
        void shouldStayFreeWhenTheAppendTakesEffectAgainAfterItWasSettled() {
            keeper.caughtUp();
            LogEntry entry = appended(keeper.claim(request("k", "b"), 0, 0));
            keeper.appended(ClaimAction.Slot.CLAIMS, ClaimKeeper.AppendOutcome.WRITTEN, 1);
            keeper.handle(LogRecord.of(0, 100, entry), 2);
            LogEntry settled = appended(keeper.settle(0, Ran.NO, 4));
            keeper.handle(LogRecord.of(1, 200, settled), 5);

            keeper.handle(LogRecord.of(2, 300, entry), 6);

            assertThat(refusals(keeper.claim(request("k", "b"), 7, 0))).isEmpty();
        }

        @Test
        void shouldTellAccountsApartWhenTheyUseTheSameKey() {
            keeper.caughtUp();
            claimAndRead(request("k", "b"), 0);
            ClaimRequest other =
                    new ClaimRequest(
                            9, ClientAccountId.of("ktima"), "k", "b", OptionalLong.empty());

            assertThat(claimAndRead(other, 1)).containsExactly(new ClaimAction.Granted(9, 1));
        }

        // Near the end of its window a key may be forgotten between two looks; the age that it
        // carries is checked against the log's clock at its own record.
        @Test
        void shouldRefuseWhenTheKeyIsOlderThanTheWindow() {
            keeper.caughtUp();
            ClaimRequest old =
                    new ClaimRequest(1, ClientAccountId.of("andina"), "k", "b", OptionalLong.of(0));

            assertThat(refusals(keeper.claim(old, 0, WINDOW)))
                    .containsExactly(ErrorCode.KEY_EXPIRED);
        }
    }
}
