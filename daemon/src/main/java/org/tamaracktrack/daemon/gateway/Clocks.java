package org.tamaracktrack.daemon.gateway;

import org.tamaracktrack.core.knowledge.DualTimestamp;
import org.tamaracktrack.daemon.runtime.ControlThread;

/** Reads the monotonic clock and the time of day. */
final class Clocks {
    private Clocks() {}

    static DualTimestamp now() {
        return new DualTimestamp(ControlThread.nowMillis(), System.currentTimeMillis());
    }

    /** Returns the time since a timestamp by the monotonic clock, in milliseconds. */
    static long millisSince(DualTimestamp timestamp) {
        return ControlThread.nowMillis() - timestamp.steadyMillis();
    }
}
