package org.tamaracktrack.daemon.gateway;

import org.tamaracktrack.core.route.Route;

/** How urgent a route's requests are to a model engine, from 0 (first) to 9. */
final class Urgency {
    private static final int MOST_URGENT = 2;
    private static final int URGENT = 4;
    private static final int PATIENT = 7;
    private static final long URGENT_MILLIS = 1_000;
    private static final long PATIENT_MILLIS = 4_000;

    private Urgency() {}

    // An engine admits the more urgent first. Ranked by how soon the first event is promised, a
    // request with seconds to spare does not make one late that has half a second.
    static int of(Route route) {
        if (route.objectiveMillis() <= URGENT_MILLIS) {
            return MOST_URGENT;
        }
        return route.objectiveMillis() <= PATIENT_MILLIS ? URGENT : PATIENT;
    }
}
