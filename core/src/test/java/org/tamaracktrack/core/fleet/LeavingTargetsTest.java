package org.tamaracktrack.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.id.TargetId;

class LeavingTargetsTest {
    private static final int BOUND = 1_000;

    private static TargetIncarnation incarnation(int number) {
        return new TargetIncarnation(TargetId.of("t" + number), 0);
    }

    // Guards against memory that grows with each target that has ever left.
    @Test
    void shouldForgetTheFirstIncarnationWhenThereAreTooMany() {
        LeavingTargets leaving = LeavingTargets.empty();
        for (int number = 0; number <= BOUND; number++) {
            leaving = leaving.with(incarnation(number));
        }

        assertThat(leaving.contains(incarnation(0))).isFalse();
        assertThat(leaving.contains(incarnation(1))).isTrue();
        assertThat(leaving.contains(incarnation(BOUND))).isTrue();
    }

    @Test
    void shouldReturnTheSameSetWhenTheIncarnationIsContained() {
        LeavingTargets leaving = LeavingTargets.empty().with(incarnation(1));

        assertThat(leaving.with(incarnation(1))).isSameInstanceAs(leaving);
    }

    // Guards against a view without the mark, and against one that is built anew for nothing.
    @Test
    void shouldMarkOnlyTheIncarnationThatLeaves() {
        TargetEntry leavingEntry = TargetEntries.engine("t1", TargetEntries.HOME);
        TargetEntry restarted =
                TargetEntries.entry("t2", 200, 1, false, TargetEntries.HOME, "model");
        FleetSnapshot fleet =
                FleetSnapshot.of(
                        Map.of(
                                leavingEntry.incarnation().target(),
                                leavingEntry,
                                restarted.incarnation().target(),
                                restarted));
        LeavingTargets leaving = LeavingTargets.empty().with(incarnation(1)).with(incarnation(2));

        FleetSnapshot marked = leaving.mark(fleet);

        assertThat(marked.ready(TargetEntries.ENGINES).toList()).containsExactly(restarted);
        assertThat(marked.of(TargetEntries.ENGINES)).hasSize(2);
        assertThat(leaving.mark(marked)).isSameInstanceAs(marked);
    }
}
