package org.tamaracktrack.daemon.gateway;

import java.util.OptionalInt;
import org.tamaracktrack.core.route.Route;

/** Computes how urgent a request is to a model engine, from 0 (most urgent) to 9. */
final class Urgency {
    private static final int LEAST_URGENT = 9;
    private static final int STEPS_PER_PRIORITY = 2;

    private Urgency() {}

    // The operators' priority comes first, that of the client account before that of the route.
    // Within a priority, a request with seconds to spare ranks
    // behind one that has half a second.
    static int of(Route route, OptionalInt accountPriority) {
        return of(route, accountPriority, false);
    }

    // Work that can no longer be in time ranks behind that which can, and ahead of lower
    // priorities.
    static int of(Route route, OptionalInt accountPriority, boolean late) {
        int patient = late || route.isPatient() ? 1 : 0;
        return Math.max(
                0,
                Math.min(
                        LEAST_URGENT,
                        STEPS_PER_PRIORITY * (accountPriority.orElse(route.priority()) + 1)
                                + patient));
    }
}
