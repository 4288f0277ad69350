package org.tamaracktrack.daemon.gateway;

import org.tamaracktrack.core.knowledge.DualTimestamp;
import org.tamaracktrack.daemon.runtime.ControlThread;

/** Reads both clocks of the process. */
final class Clocks {
    private Clocks() {}

    static DualTimestamp now() {
        return new DualTimestamp(ControlThread.nowMillis(), System.currentTimeMillis());
    }

    /** How long ago a moment was, by the steady clock. */
    static long agoMillis(DualTimestamp moment) {
        return ControlThread.nowMillis() - moment.steadyMillis();
    }
}
