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

class ClaimManagerTest {
    private static final long WINDOW_MILLIS = 60_000;
    private static final ClaimLimits LIMITS = new ClaimLimits(1_000, 0, 0, 500);

    @Group
    @Nested
    class Schedules {
        // A request must run at most once. Two or three daemons claim the same keys in any order
        // while appends are lost, delayed or duplicated, responses are lost, the log is
        // unavailable, and daemons crash, pause or fall behind retention. The first claim by offset
        // decides.
        @Property(seed = "20261202", tries = 3_000)
        void shouldGrantAKeyOnceWithinItsWindow(
                @ForAll long seed, @ForAll @IntRange(min = 2, max = 3) int daemons) {
            new ClaimSchedule(seed, daemons, false).run();
        }

        // As above, but the key carries its time of creation. It is then granted only once ever,
        // because a key that is too old to be remembered is refused.
        @Property(seed = "20261203", tries = 3_000)
        void shouldNeverGrantAKeyTwiceWhenItCarriesItsCreationTime(@ForAll long seed) {
            new ClaimSchedule(seed, 3, true).run();
        }

        @Test
        void shouldProduceGrantsAndEveryKindOfRefusal() {
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

        // For longer runs: mvn test -pl core -Dtest=ClaimManagerTest -DargLine="-Dschedules=100000"
        @Test
        void shouldHoldInTheConfiguredNumberOfRandomSchedules() {
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
    private final ClaimManager manager = ClaimManager.of(owner, LIMITS, WINDOW_MILLIS, 0);
    private long tickets;

    private ClaimRequest request(String key, String body) {
        return new ClaimRequest(
                tickets++, ClientAccountId.of("andina"), key, body, OptionalLong.empty());
    }

    private LogEntry appendedEntry(List<ClaimAction> actions) {
        return ((ClaimAction.Append) actions.get(0)).entry();
    }

    private static List<ErrorCode> refusals(List<ClaimAction> actions) {
        return actions.stream()
                .filter(ClaimAction.Declined.class::isInstance)
                .map(action -> ((ClaimAction.Declined) action).code())
                .toList();
    }

    private List<ClaimAction> claimAndRead(ClaimRequest request, long offset) {
        LogEntry entry = appendedEntry(manager.claim(request, 0, 0));
        manager.appended(ClaimAction.AppendKind.CLAIMS, ClaimManager.AppendOutcome.WRITTEN, 1);
        return manager.handle(LogRecord.of(offset, 100 + offset, entry), 2);
    }

    @Nested
    class Unavailable {
        @Test
        void shouldRefuseImmediatelyWhenTheStreamHasNotBeenRead() {
            assertThat(refusals(manager.claim(request("k", "b"), 0, 0)))
                    .containsExactly(ErrorCode.CLAIM_UNAVAILABLE);
        }

        // A caller must not be told "not run" for a key that ran. This daemon started after the
        // record of that run expired from the log, but while it is still within the window.
        @Test
        void shouldRefuseUntilTheWholeWindowHasBeenReadWhenRecordsExpired() {
            manager.recordsExpired(7);
            manager.handle(LogRecord.of(7, 1_000, new LogEntry.ClaimsTaken(owner, List.of())), 0);
            manager.caughtUp();

            assertThat(refusals(manager.claim(request("k", "b"), 0, 1_000 + WINDOW_MILLIS)))
                    .containsExactly(ErrorCode.CLAIM_UNAVAILABLE);
            assertThat(refusals(manager.claim(request("k", "b"), 0, 1_001 + WINDOW_MILLIS)))
                    .isEmpty();
        }

        // A daemon reads claims before its configuration. Until the window is known no claim
        // expires; afterwards the configured window applies.
        @Test
        void shouldUseTheConfiguredWindowWhenItIsSetLater() {
            ClaimManager managerWithoutWindow =
                    ClaimManager.of(owner, LIMITS, ClaimRegister.UNKNOWN_WINDOW_MILLIS, 0);
            managerWithoutWindow.recordsExpired(7);
            managerWithoutWindow.handle(
                    LogRecord.of(7, 1_000, new LogEntry.ClaimsTaken(owner, List.of())), 0);
            managerWithoutWindow.caughtUp();
            assertThat(
                            refusals(
                                    managerWithoutWindow.claim(
                                            request("k", "b"), 0, 1_001 + WINDOW_MILLIS)))
                    .containsExactly(ErrorCode.CLAIM_UNAVAILABLE);

            managerWithoutWindow.changeWindow(WINDOW_MILLIS);

            assertThat(
                            refusals(
                                    managerWithoutWindow.claim(
                                            request("k", "b"), 0, 1_001 + WINDOW_MILLIS)))
                    .isEmpty();
        }

        @Test
        void shouldRefuseWhenTheAppendFailedTwice() {
            manager.caughtUp();
            manager.claim(request("k", "b"), 0, 0);

            List<ClaimAction> first =
                    manager.appended(
                            ClaimAction.AppendKind.CLAIMS,
                            ClaimManager.AppendOutcome.NOT_WRITTEN,
                            1);
            List<ClaimAction> second =
                    manager.appended(
                            ClaimAction.AppendKind.CLAIMS,
                            ClaimManager.AppendOutcome.NOT_WRITTEN,
                            2);

            assertThat(refusals(first)).isEmpty();
            assertThat(refusals(second)).containsExactly(ErrorCode.CLAIM_UNAVAILABLE);
        }

        // The caller was told that nothing ran, so its key must be free again. The append whose
        // response was lost is read after the claim was abandoned, and is settled as not run.
        @Test
        void shouldFreeTheKeyWhenAnAbandonedClaimIsReadLater() {
            manager.caughtUp();
            LogEntry entry = appendedEntry(manager.claim(request("k", "b"), 0, 0));
            manager.appended(ClaimAction.AppendKind.CLAIMS, ClaimManager.AppendOutcome.UNKNOWN, 1);

            assertThat(refusals(manager.tick(1_000))).containsExactly(ErrorCode.CLAIM_UNAVAILABLE);
            assertThat(appendedEntry(manager.handle(LogRecord.of(0, 5, entry), 1_100)))
                    .isEqualTo(
                            new LogEntry.ClaimsSettled(
                                    owner, List.of(new LogEntry.ClaimOutcome(0, Ran.NO))));
        }
    }

    @Nested
    class Keys {
        @Test
        void shouldGrantWhenTheClaimIsReadBackAsTheFirstForItsKey() {
            manager.caughtUp();

            assertThat(claimAndRead(request("k", "b"), 0))
                    .containsExactly(new ClaimAction.Granted(0, 0));
        }

        @Test
        void shouldRefuseWithTheReasonWhenTheKeyIsTaken() {
            manager.caughtUp();
            claimAndRead(request("k", "b"), 0);

            assertThat(refusals(manager.claim(request("k", "b"), 3, 0)))
                    .containsExactly(ErrorCode.KEY_IN_USE);
            assertThat(refusals(manager.claim(request("k", "other"), 3, 0)))
                    .containsExactly(ErrorCode.KEY_REUSED);

            LogEntry settled = appendedEntry(manager.settle(0, Ran.YES, 4));
            manager.handle(LogRecord.of(1, 200, settled), 5);
            assertThat(refusals(manager.claim(request("k", "b"), 6, 0)))
                    .containsExactly(ErrorCode.KEY_ALREADY_RAN);
        }

        @Test
        void shouldFreeTheKeyWhenTheRequestDidNotRun() {
            manager.caughtUp();
            claimAndRead(request("k", "b"), 0);
            LogEntry settled = appendedEntry(manager.settle(0, Ran.NO, 4));
            manager.handle(LogRecord.of(1, 200, settled), 5);

            assertThat(claimAndRead(request("k", "b"), 2))
                    .containsExactly(new ClaimAction.Granted(1, 1));
        }

        // The caller was told that nothing ran and that its key is free. A repeat of the first
        // append takes effect much later; it must not hold the key again.
        @Test
        void shouldKeepTheKeyFreeWhenASettledAppendTakesEffectAgain() {
            manager.caughtUp();
            LogEntry entry = appendedEntry(manager.claim(request("k", "b"), 0, 0));
            manager.appended(ClaimAction.AppendKind.CLAIMS, ClaimManager.AppendOutcome.WRITTEN, 1);
            manager.handle(LogRecord.of(0, 100, entry), 2);
            LogEntry settled = appendedEntry(manager.settle(0, Ran.NO, 4));
            manager.handle(LogRecord.of(1, 200, settled), 5);

            manager.handle(LogRecord.of(2, 300, entry), 6);

            assertThat(refusals(manager.claim(request("k", "b"), 7, 0))).isEmpty();
        }

        @Test
        void shouldSeparateAccountsThatUseTheSameKey() {
            manager.caughtUp();
            claimAndRead(request("k", "b"), 0);
            ClaimRequest other =
                    new ClaimRequest(
                            9, ClientAccountId.of("ktima"), "k", "b", OptionalLong.empty());

            assertThat(claimAndRead(other, 1)).containsExactly(new ClaimAction.Granted(9, 1));
        }

        // Near the end of its window a key may be dropped between two checks, so the age that it
        // carries is checked against the clock of the log at its own record.
        @Test
        void shouldRefuseWhenTheKeyIsOlderThanTheWindow() {
            manager.caughtUp();
            ClaimRequest old =
                    new ClaimRequest(1, ClientAccountId.of("andina"), "k", "b", OptionalLong.of(0));

            assertThat(refusals(manager.claim(old, 0, WINDOW_MILLIS)))
                    .containsExactly(ErrorCode.KEY_EXPIRED);
        }
    }
}
