package org.tamaracktrack.daemon.gateway;

import java.util.HashMap;
import java.util.Map;
import org.tamaracktrack.core.fleet.ModelNeed;

/** Counts what requests ask of models between two readings. Owned by the traffic thread. */
public final class DemandMeter {
    private Map<ModelNeed, Integer> arrived = new HashMap<>();

    private DemandMeter() {}

    static DemandMeter empty() {
        return new DemandMeter();
    }

    void note(ModelNeed need) {
        arrived.merge(need, 1, Integer::sum);
    }

    Map<ModelNeed, Integer> take() {
        Map<ModelNeed, Integer> taken = arrived;
        arrived = new HashMap<>();
        return taken;
    }
}
