package org.tamaracktrack.core.copies;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.id.ModelId;

/** Covers a model with urgent and patient requests and one with patient requests only. */
class DemandTrackerUrgencyTest {
    private static final ModelId BUSY = ModelId.of("busy");
    private static final ModelId RARE = ModelId.of("rare");

    // Guards against replicas that are kept for patient requests as if these were urgent.
    @Test
    void shouldCountOnlyUrgentRequestsInUrgentDemand() {
        DemandTracker demand = DemandTracker.empty();
        demand.add(
                "host",
                new DemandTracker.DemandCounts(
                        Map.of(need(BUSY), 10), Map.of(need(BUSY), 20, need(RARE), 5), Map.of()),
                0);

        assertThat(demand.urgentShortTermDemand()).containsExactly(BUSY, 4.0);
        assertThat(demand.shortTermDemand()).containsExactly(BUSY, 6.0, RARE, 0.5);
        demand.decay(10_000);
        assertThat(demand.urgentShortTermDemand().get(BUSY)).isLessThan(0.1);
    }

    private static ModelNeed need(ModelId model) {
        return new ModelNeed(model, Optional.empty());
    }
}
