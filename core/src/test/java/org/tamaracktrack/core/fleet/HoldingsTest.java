package org.tamaracktrack.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;

class HoldingsTest {
    private static final TargetId TARGET = TargetId.of("one");
    private static final ModelId MODEL = ModelId.of("model");
    private static final Map<ModelId, HeldModel> HELD =
            TargetEntry.byModel(List.of(new HeldModel(MODEL, Set.of())));

    private final TargetEntry entry = Targets.entry("one", 5, 1, false, Targets.HOME);
    private final Fleet registry = Fleet.of(Map.of(TARGET, entry));

    private static boolean holds(Fleet fleet) {
        return fleet.entry(TARGET).orElseThrow().holds(MODEL);
    }

    @Test
    void shouldReplaceWhatTheRegistrySays() {
        Holdings holdings = Holdings.empty().with(entry.incarnation(), Optional.of(HELD));

        assertThat(holds(registry)).isFalse();
        assertThat(holds(holdings.over(registry))).isTrue();
    }

    @Test
    void shouldLeaveTheRegistrysWordWhenNoLongerSure() {
        Holdings holdings =
                Holdings.empty()
                        .with(entry.incarnation(), Optional.of(HELD))
                        .with(entry.incarnation(), Optional.empty());

        assertThat(holdings.over(registry)).isSameInstanceAs(registry);
    }

    // A target was started again under its name and is empty. What its earlier run held must not
    // be taken for what it holds now.
    @Test
    void shouldNotSpeakOfAnotherRunOfTheTarget() {
        TargetIncarnation earlier =
                new TargetIncarnation(TARGET, entry.incarnation().startedAtMillis() - 1);
        Holdings holdings = Holdings.empty().with(earlier, Optional.of(HELD));

        assertThat(holds(holdings.over(registry))).isFalse();
    }

    @Test
    void shouldNotNameATargetThatTheRegistryDoesNotHave() {
        Holdings holdings = Holdings.empty().with(entry.incarnation(), Optional.of(HELD));

        assertThat(holdings.over(Fleet.of(Map.of())).all().count()).isEqualTo(0);
    }
}
