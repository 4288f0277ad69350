package org.tamaracktrack.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;

class ResidentModelsTest {
    private static final TargetId TARGET = TargetId.of("one");
    private static final ModelId MODEL = ModelId.of("model");
    private static final Map<ModelId, HeldModel> HELD =
            TargetEntry.indexByModel(List.of(new HeldModel(MODEL, Set.of())));

    private final TargetEntry entry = TargetEntries.entry("one", 5, 1, false, TargetEntries.HOME);
    private final FleetSnapshot registry = FleetSnapshot.of(Map.of(TARGET, entry));

    private static boolean holds(FleetSnapshot fleet) {
        return fleet.entry(TARGET).orElseThrow().holds(MODEL);
    }

    @Test
    void shouldReplaceTheModelsOfTheRegistry() {
        ResidentModels residentModels =
                ResidentModels.empty().with(entry.incarnation(), Optional.of(HELD));

        assertThat(holds(registry)).isFalse();
        assertThat(holds(residentModels.applyTo(registry))).isTrue();
    }

    @Test
    void shouldKeepTheModelsOfTheRegistryWhenNoLongerCertain() {
        ResidentModels residentModels =
                ResidentModels.empty()
                        .with(entry.incarnation(), Optional.of(HELD))
                        .with(entry.incarnation(), Optional.empty());

        assertThat(residentModels.applyTo(registry)).isSameInstanceAs(registry);
    }

    // Guards against attributing the models of an earlier incarnation to a target that was
    // restarted under its name and is empty.
    @Test
    void shouldNotApplyToAnotherIncarnationOfTheTarget() {
        TargetIncarnation earlier =
                new TargetIncarnation(TARGET, entry.incarnation().startedAtMillis() - 1);
        ResidentModels residentModels = ResidentModels.empty().with(earlier, Optional.of(HELD));

        assertThat(holds(residentModels.applyTo(registry))).isFalse();
    }

    @Test
    void shouldNotAddATargetThatTheRegistryLacks() {
        ResidentModels residentModels =
                ResidentModels.empty().with(entry.incarnation(), Optional.of(HELD));

        assertThat(residentModels.applyTo(FleetSnapshot.of(Map.of())).all().count()).isEqualTo(0);
    }
}
