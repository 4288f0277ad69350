package org.tamaracktrack.daemon.gateway;

import org.tamaracktrack.core.route.Route;

/** How urgent a route's requests are to a model engine, from 0 (first) to 9. */
final class Urgency {
    private static final int MOST = 9;
    private static final int STEP = 2;
    private static final long PATIENT_MILLIS = 4_000;

    private Urgency() {}

    // The operators' rank goes first. Within a rank a request with seconds to spare gives way to
    // one that has half a second.
    static int of(Route route) {
        int patient = route.objectiveMillis() > PATIENT_MILLIS ? 1 : 0;
        return Math.max(0, Math.min(MOST, STEP * (route.priority() + 1) + patient));
    }
}
