package org.tamaracktrack.daemon.target;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.id.ModelId;

class UnplannedDemandTest {
    private static final ModelId MODEL = ModelId.of("m");

    // Guards against a load for a few requests that the planned target of a model refused at a load
    // peak. If the planned target is lost, the requests continue, and the model must be loaded
    // before the planner reacts.
    @Test
    void shouldAllowLoadOnlyWhenModelIsRequestedPersistently() {
        UnplannedDemand demand = UnplannedDemand.empty();
        demand.record(Set.of(MODEL), 0);
        assertThat(demand.mayLoad(MODEL, 0)).isFalse();

        demand.record(Set.of(MODEL), 2_500);
        demand.record(Set.of(MODEL), 5_000);

        assertThat(demand.mayLoad(MODEL, 5_000)).isTrue();
    }

    @Test
    void shouldRestartPeriodWhenModelWasNotRequestedMeanwhile() {
        UnplannedDemand demand = UnplannedDemand.empty();
        demand.record(Set.of(MODEL), 0);
        demand.record(Set.of(MODEL), 6_000);

        assertThat(demand.mayLoad(MODEL, 6_000)).isFalse();
    }

    @Test
    void shouldAllowLoadWhenModelHasNoUnplannedDemand() {
        assertThat(UnplannedDemand.empty().mayLoad(MODEL, 0)).isTrue();
    }
}
