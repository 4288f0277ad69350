package org.tamaracktrack.daemon.gateway;

import org.tamaracktrack.daemon.runtime.ControlThread;

/**
 * One moment by both clocks, which move apart while the process is frozen.
 *
 * @param steadyMillis the steady clock
 * @param clockDifference time of day less steady clock
 */
record Moment(long steadyMillis, long clockDifference) {
    static Moment now() {
        long steadyMillis = ControlThread.nowMillis();
        return new Moment(steadyMillis, System.currentTimeMillis() - steadyMillis);
    }

    /** Another moment, between which and this one the process was not frozen. */
    Moment at(long millis) {
        return new Moment(millis, clockDifference);
    }

    long agoMillis() {
        return ControlThread.nowMillis() - steadyMillis;
    }
}
