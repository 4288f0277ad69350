package org.tamaracktrack.core.dispatch;

/**
 * How steadily the events of an engine's streams come. An engine reads prompts in long pieces
 * between the events of all its streams, so streams that stall show prompts of any daemon being
 * read there; a daemon counts only its own.
 */
final class StreamPace {
    /** Weight of the newest pause; a few streams send an event in every twentieth of a second. */
    private static final double NEWEST = 0.3;

    /**
     * Half of a stall is forgotten after this long: a long prompt is read in a fifth of a second.
     */
    private static final double HALF_LIFE_MILLIS = 150;

    /** How quickly the usual pause follows shorter ones, and longer ones. */
    private static final double SHORTER = 0.05;

    private static final double LONGER = 0.002;

    /** Pauses up to this many usual ones are no stall. */
    private static final double STEADY = 2;

    private static final double NONE = -1;

    private double usualMillis = NONE;
    private double lastMillis;
    private long atMillis;

    private StreamPace() {}

    static StreamPace unknown() {
        return new StreamPace();
    }

    void note(long gapMillis, long nowMillis) {
        if (usualMillis == NONE) {
            usualMillis = gapMillis;
        }
        double weight = gapMillis < usualMillis ? SHORTER : LONGER;
        usualMillis += weight * (gapMillis - usualMillis);
        lastMillis = (1 - NEWEST) * faded(nowMillis) + NEWEST * gapMillis;
        atMillis = nowMillis;
    }

    private double faded(long nowMillis) {
        double passed = Math.max(0, nowMillis - atMillis);
        return lastMillis * Math.pow(0.5, passed / HALF_LIFE_MILLIS);
    }

    double stallMillis(long nowMillis) {
        return usualMillis == NONE ? 0 : Math.max(0, faded(nowMillis) - STEADY * usualMillis);
    }
}
