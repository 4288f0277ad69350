package org.tamaracktrack.daemon.gateway;

import org.tamaracktrack.daemon.runtime.ControlThread;

/** Waits until a leaving gateway may end. */
public final class GatewayStop {
    /** The balancer asks each second and takes a daemon out after two misses. */
    private static final long BALANCER_MILLIS = 3_000;

    /** Kept for the last writes before the platform ends the process. */
    private static final long MARGIN_MILLIS = 400;

    private static final long STEP_MILLIS = 50;

    private GatewayStop() {}

    /**
     * Waits until every request is answered and the balancer sends no more, or the grace is over.
     *
     * @param gateway the gateway, which has begun to leave
     * @param graceMillis how long a planned stop may take
     */
    public static void await(Gateway gateway, long graceMillis) {
        long begun = ControlThread.nowMillis();
        try {
            while (!over(gateway, ControlThread.nowMillis() - begun, graceMillis)) {
                Thread.sleep(STEP_MILLIS);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean over(Gateway gateway, long passedMillis, long graceMillis) {
        if (passedMillis >= graceMillis - MARGIN_MILLIS) {
            return true;
        }
        return passedMillis >= BALANCER_MILLIS && gateway.inProgress() == 0;
    }
}
