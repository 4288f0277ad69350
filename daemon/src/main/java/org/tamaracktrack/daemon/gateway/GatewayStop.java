package org.tamaracktrack.daemon.gateway;

import org.tamaracktrack.daemon.runtime.ControlThread;

/** Waits until a gateway that is leaving may stop. */
public final class GatewayStop {
    /** The load balancer checks every second and removes a daemon after two failed checks. */
    private static final long BALANCER_REMOVAL_MILLIS = 3_000;

    /** Reserved for the last writes before the platform ends the process. */
    private static final long MARGIN_MILLIS = 400;

    private static final long POLL_INTERVAL_MILLIS = 50;

    private GatewayStop() {}

    /**
     * Waits until every request is answered and the load balancer sends no more, or the grace
     * period is over.
     *
     * @param gateway the gateway, which has begun to leave
     * @param graceMillis how long a planned stop may take
     */
    public static void await(Gateway gateway, long graceMillis) {
        long startedMillis = ControlThread.nowMillis();
        try {
            while (!mayStop(gateway, ControlThread.nowMillis() - startedMillis, graceMillis)) {
                gateway.endRequestsIfDue();
                Thread.sleep(POLL_INTERVAL_MILLIS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean mayStop(Gateway gateway, long elapsedMillis, long graceMillis) {
        if (elapsedMillis >= graceMillis - MARGIN_MILLIS) {
            return true;
        }
        return elapsedMillis >= BALANCER_REMOVAL_MILLIS && gateway.inProgress() == 0;
    }
}
