package org.tamaracktrack.daemon.target;

import java.util.EnumSet;
import java.util.Set;

/** The reasons for which the target is leaving. It is leaving until every reason is withdrawn. */
final class LeavingReasons {
    /** A source of the decision that a target leaves. */
    enum Reason {
        PLANNED_STOP,
        DRAIN_RECORD,
        HOST_LIST,
        DEPOSED
    }

    private final Set<Reason> reasons = EnumSet.noneOf(Reason.class);

    private LeavingReasons() {}

    static LeavingReasons none() {
        return new LeavingReasons();
    }

    /** Adds or withdraws a reason; returns true if this changes whether the target is leaving. */
    boolean update(Reason reason, boolean active) {
        boolean wasLeaving = isLeaving();
        if (active) {
            reasons.add(reason);
        } else {
            reasons.remove(reason);
        }
        return wasLeaving != isLeaving();
    }

    boolean isLeaving() {
        return !reasons.isEmpty();
    }
}
