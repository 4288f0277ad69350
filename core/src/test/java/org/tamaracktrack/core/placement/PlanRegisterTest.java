package org.tamaracktrack.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

class PlanRegisterTest {
    private static final IncarnationId FIRST = IncarnationId.of("entry-1");
    private static final IncarnationId SECOND = IncarnationId.of("entry-2");

    private final PlanRegister register = PlanRegister.empty();

    private Optional<LogEntry.PlanPublished> append(long offset, long atMillis, LogEntry entry) {
        return register.handle(LogRecord.of(offset, atMillis, entry));
    }

    private static LogEntry.LeaseTaken lease(IncarnationId holder, long renews) {
        return new LogEntry.LeaseTaken("planner", holder, 10_000, renews);
    }

    private static LogEntry.PlanPublished plan(IncarnationId holder, long term, String target) {
        return new LogEntry.PlanPublished(
                holder,
                term,
                3,
                List.of(
                        new LogEntry.Placement(
                                ModelId.of("approval"), TargetId.of(target), List.of(), "home")));
    }

    @Test
    void shouldAcceptThePlanWhenItsTermIsInForce() {
        append(0, 0, lease(FIRST, -1));

        assertThat(append(1, 10, plan(FIRST, 0, "runner-1"))).isPresent();
        assertThat(register.inForceOffset()).isEqualTo(1);
    }

    // The planner is paused after it decided on a plan. Its lease expires, another planner takes
    // over and publishes a plan, and then the append of the first arrives. Accepting it would undo
    // the moves of the second planner.
    @Test
    void shouldRejectThePlanWhenAnotherPlannerHasTakenOver() {
        append(0, 0, lease(FIRST, -1));
        append(1, 15_000, lease(SECOND, -1));
        append(2, 15_100, plan(SECOND, 1, "runner-2"));

        Optional<LogEntry.PlanPublished> latePlan = append(3, 15_200, plan(FIRST, 0, "runner-1"));

        assertThat(latePlan).isEmpty();
        assertThat(register.inForce().orElseThrow().holder()).isEqualTo(SECOND);
        assertThat(register.refused()).isEqualTo(1);
    }

    @Test
    void shouldRejectThePlanWhenTheLeaseExpiredWithoutSuccessor() {
        append(0, 0, lease(FIRST, -1));

        assertThat(append(1, 10_000, plan(FIRST, 0, "runner-1"))).isEmpty();
    }

    // The same process lost the duty and got it back. A plan from its earlier term arrives late:
    // the holder matches, the term does not.
    @Test
    void shouldRejectThePlanWhenItIsOfAnEarlierTermOfTheSameHolder() {
        append(0, 0, lease(FIRST, -1));
        append(1, 15_000, lease(SECOND, -1));
        append(2, 30_000, lease(FIRST, -1));

        assertThat(append(3, 30_100, plan(FIRST, 0, "runner-1"))).isEmpty();
        assertThat(append(4, 30_200, plan(FIRST, 2, "runner-1"))).isPresent();
    }

    @Test
    void shouldKeepThePlanInForceWhenThePlannerIsLost() {
        append(0, 0, lease(FIRST, -1));
        append(1, 10, plan(FIRST, 0, "runner-1"));

        append(2, 500_000, lease(SECOND, -1));

        assertThat(register.inForce()).isPresent();
    }
}
