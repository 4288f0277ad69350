package org.tamaracktrack.daemon.gateway;

import org.tamaracktrack.core.knowledge.Moment;
import org.tamaracktrack.daemon.runtime.ControlThread;

/** Reads both clocks of the process. */
final class Clocks {
    private Clocks() {}

    static Moment now() {
        return new Moment(ControlThread.nowMillis(), System.currentTimeMillis());
    }

    /** How long ago a moment was, by the steady clock. */
    static long agoMillis(Moment moment) {
        return ControlThread.nowMillis() - moment.steadyMillis();
    }
}
