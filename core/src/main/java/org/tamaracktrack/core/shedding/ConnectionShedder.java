package org.tamaracktrack.core.shedding;

/**
 * Decides which new connections are closed before anything is read from them, so that their callers
 * try another daemon at once. The load balancer may hand most connections to one daemon, which then
 * reads all of them late. Connections are shed only while this daemon is late and has more requests
 * than the others: where all are equally loaded, another daemon would be no better. Not safe for
 * use by several threads.
 */
public final class ConnectionShedder {
    /** Time between two measurements, in milliseconds. */
    public static final long TICK_MILLIS = 100;

    /** Mean delay of the thread above which it is late. */
    private static final double LATE_MILLIS = 60;

    /** A single longer delay, as after a freeze, is no sign of lasting load. */
    private static final long MAX_COUNTED_DELAY_MILLIS = 300;

    private static final double NEWEST_DELAY_WEIGHT = 0.3;

    /** Requests of this daemon, relative to the mean of all, above which it is crowded. */
    private static final double CROWDED_RATIO = 1.5;

    private static final double RATIO_STEP_UP = 0.1;
    private static final double RATIO_STEP_DOWN = 0.02;
    private static final double MAX_RATIO = 0.98;

    private double meanDelayMillis;
    private double ratio;

    private ConnectionShedder() {}

    /**
     * Returns a shedder that sheds nothing yet.
     *
     * @return the shedder
     */
    public static ConnectionShedder idle() {
        return new ConnectionShedder();
    }

    /**
     * Records a measurement.
     *
     * @param delayMillis how late the thread that reads connections ran its tick, in milliseconds
     * @param ownRequests the requests of this daemon at targets
     * @param peerRequests the requests of its peers at targets, together
     * @param peers the number of peers; 0 when none is known
     */
    public void recordTick(long delayMillis, int ownRequests, int peerRequests, int peers) {
        if (delayMillis < 0 || ownRequests < 0 || peerRequests < 0 || peers < 0) {
            throw new IllegalArgumentException("a measurement is negative");
        }
        long counted = Math.min(delayMillis, MAX_COUNTED_DELAY_MILLIS);
        meanDelayMillis += NEWEST_DELAY_WEIGHT * (counted - meanDelayMillis);
        double meanRequests = (ownRequests + peerRequests) / (peers + 1.0);
        boolean crowded = peers > 0 && ownRequests > CROWDED_RATIO * meanRequests;
        ratio =
                crowded && meanDelayMillis > LATE_MILLIS
                        ? Math.min(MAX_RATIO, ratio + RATIO_STEP_UP)
                        : Math.max(0, ratio - RATIO_STEP_DOWN);
    }

    /**
     * Returns whether to close a new connection.
     *
     * @param draw a random number from 0 to 1
     * @return true when it is to be closed unread
     */
    public boolean sheds(double draw) {
        return draw < ratio;
    }

    /**
     * Returns the share of new connections that are shed.
     *
     * @return the share, from 0 to 1
     */
    public double ratio() {
        return ratio;
    }
}
