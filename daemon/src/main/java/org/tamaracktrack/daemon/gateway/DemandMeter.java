package org.tamaracktrack.daemon.gateway;

import java.util.HashMap;
import java.util.Map;
import org.tamaracktrack.core.copies.DemandTracker;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.route.Route;

/** Counts what requests ask of models between two readings. Owned by the traffic thread. */
final class DemandMeter {
    /** Requests with a later objective than this can wait for a copy to be loaded. */
    private static final long PATIENT_MILLIS = 4_000;

    private Map<ModelNeed, Integer> urgent = new HashMap<>();
    private Map<ModelNeed, Integer> patient = new HashMap<>();

    private DemandMeter() {}

    static DemandMeter empty() {
        return new DemandMeter();
    }

    void note(ModelNeed need, Route route) {
        (route.objectiveMillis() > PATIENT_MILLIS ? patient : urgent).merge(need, 1, Integer::sum);
    }

    DemandTracker.DemandCounts take(Map<ModelNeed, Integer> waiting) {
        DemandTracker.DemandCounts seen = new DemandTracker.DemandCounts(urgent, patient, waiting);
        urgent = new HashMap<>();
        patient = new HashMap<>();
        return seen;
    }
}
