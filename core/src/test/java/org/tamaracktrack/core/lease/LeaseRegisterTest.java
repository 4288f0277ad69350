package org.tamaracktrack.core.lease;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

class LeaseRegisterTest {
    private static final IncarnationId FIRST = IncarnationId.of("entry-1");
    private static final IncarnationId SECOND = IncarnationId.of("entry-2");

    private final LeaseRegister register = LeaseRegister.empty();

    private boolean take(long offset, long atMillis, IncarnationId holder, long renews) {
        return register.handle(
                LogRecord.of(
                        offset,
                        atMillis,
                        new LogEntry.LeaseTaken("planner", holder, 10_000, renews)));
    }

    @Test
    void shouldRefuseASecondHolderWhenTheLeaseIsInForce() {
        assertThat(take(0, 0, FIRST, -1)).isTrue();

        assertThat(take(1, 9_999, SECOND, -1)).isFalse();
        assertThat(register.holder(Duty.PLANNER)).hasValue(FIRST);
    }

    @Test
    void shouldKeepTheTermWhenRenewed() {
        take(7, 0, FIRST, -1);

        assertThat(take(8, 5_000, FIRST, 7)).isTrue();
        assertThat(register.term(Duty.PLANNER)).hasValue(7L);
        assertThat(register.inForceAt(Duty.PLANNER, 14_999)).isPresent();
    }

    // The holder is paused and its lease expires; another process is granted the duty, and that
    // lease expires too. The first process resumes and renews. If that were granted, its plans from
    // before the pause would be in force again.
    @Test
    void shouldRefuseARenewalWhenAnotherWasGrantedSince() {
        take(0, 0, FIRST, -1);
        take(1, 20_000, SECOND, -1);

        assertThat(take(2, 40_000, FIRST, 0)).isFalse();
        assertThat(take(3, 40_001, FIRST, -1)).isTrue();
        assertThat(register.term(Duty.PLANNER)).hasValue(3L);
    }

    @Test
    void shouldGrantImmediatelyWhenReleased() {
        take(0, 0, FIRST, -1);
        register.handle(LogRecord.of(1, 1_000, new LogEntry.LeaseReleased("planner", FIRST)));

        assertThat(take(2, 1_001, SECOND, -1)).isTrue();
    }

    @Test
    void shouldIgnoreAReleaseByAProcessThatIsNotTheHolder() {
        take(0, 0, FIRST, -1);
        register.handle(LogRecord.of(1, 1_000, new LogEntry.LeaseReleased("planner", SECOND)));

        assertThat(register.inForceAt(Duty.PLANNER, 2_000)).isPresent();
    }

    @Test
    void shouldRefuseARenewalOfATermNotYetGranted() {
        assertThat(take(0, 0, FIRST, 99)).isFalse();
    }

    @Test
    void shouldLimitALeaseToTheMaximumDuration() {
        register.handle(
                LogRecord.of(0, 0, new LogEntry.LeaseTaken("planner", FIRST, Long.MAX_VALUE, -1)));

        assertThat(take(1, LeaseRegister.MAXIMUM_DURATION_MILLIS, SECOND, -1)).isTrue();
    }
}
