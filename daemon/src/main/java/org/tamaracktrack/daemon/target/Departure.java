package org.tamaracktrack.daemon.target;

import java.util.EnumSet;
import java.util.Set;

/** Why the target leaves. It stays leaving until every reason is taken back. */
final class Departure {
    /** Who can say that a target is to leave. */
    enum Reason {
        PLANNED_STOP,
        DRAIN_RECORD,
        HOST_LIST,
        DEPOSED
    }

    private final Set<Reason> reasons = EnumSet.noneOf(Reason.class);

    private Departure() {}

    static Departure none() {
        return new Departure();
    }

    /** Notes a reason or its withdrawal; true when this changes whether the target leaves. */
    boolean note(Reason reason, boolean holds) {
        boolean before = isLeaving();
        if (holds) {
            reasons.add(reason);
        } else {
            reasons.remove(reason);
        }
        return before != isLeaving();
    }

    boolean isLeaving() {
        return !reasons.isEmpty();
    }
}
