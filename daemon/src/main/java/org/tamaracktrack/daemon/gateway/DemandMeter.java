package org.tamaracktrack.daemon.gateway;

import java.util.HashMap;
import java.util.Map;
import org.tamaracktrack.core.copies.DemandTracker;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.route.Route;

/** Counts the requests for each model between two readings. Owned by the traffic thread. */
final class DemandMeter {
    private Map<ModelNeed, Integer> urgent = new HashMap<>();
    private Map<ModelNeed, Integer> patient = new HashMap<>();

    private DemandMeter() {}

    static DemandMeter empty() {
        return new DemandMeter();
    }

    void record(ModelNeed need, Route route) {
        (route.isPatient() ? patient : urgent).merge(need, 1, Integer::sum);
    }

    DemandTracker.DemandCounts takeCounts(Map<ModelNeed, Integer> waiting) {
        DemandTracker.DemandCounts counts =
                new DemandTracker.DemandCounts(urgent, patient, waiting);
        urgent = new HashMap<>();
        patient = new HashMap<>();
        return counts;
    }
}
