package org.tamaracktrack.core.dispatch;

/**
 * Estimates by how much the streams of an engine stall. An engine processes prompts in large chunks
 * between the events of its streams, so stalled streams indicate prompts of any daemon, whereas a
 * daemon can count only its own.
 */
final class StreamStallEstimator {
    /** Weight of the newest gap; a few streams together send an event about every 50 ms. */
    private static final double NEWEST_GAP_WEIGHT = 0.3;

    /** Half-life of a stall; a long prompt is processed in about 200 ms. */
    private static final double HALF_LIFE_MILLIS = 150;

    /**
     * Weight of a gap shorter than the usual one; larger than that of longer gaps, so that stalls
     * barely change the usual gap.
     */
    private static final double SHORTER_GAP_WEIGHT = 0.05;

    private static final double LONGER_GAP_WEIGHT = 0.002;

    /** Gaps up to this multiple of the usual gap are no stall. */
    private static final double STALL_THRESHOLD_RATIO = 2;

    private static final double NO_ESTIMATE = -1;

    private double usualGapMillis = NO_ESTIMATE;
    private double recentGapMillis;
    private long updatedAtMillis;

    private StreamStallEstimator() {}

    static StreamStallEstimator create() {
        return new StreamStallEstimator();
    }

    void recordGap(long gapMillis, long nowMillis) {
        if (usualGapMillis == NO_ESTIMATE) {
            usualGapMillis = gapMillis;
        }
        double weight = gapMillis < usualGapMillis ? SHORTER_GAP_WEIGHT : LONGER_GAP_WEIGHT;
        usualGapMillis += weight * (gapMillis - usualGapMillis);
        recentGapMillis =
                (1 - NEWEST_GAP_WEIGHT) * decayedGapMillis(nowMillis)
                        + NEWEST_GAP_WEIGHT * gapMillis;
        updatedAtMillis = nowMillis;
    }

    private double decayedGapMillis(long nowMillis) {
        double elapsedMillis = Math.max(0, nowMillis - updatedAtMillis);
        return recentGapMillis * Math.pow(0.5, elapsedMillis / HALF_LIFE_MILLIS);
    }

    double stallMillis(long nowMillis) {
        return usualGapMillis == NO_ESTIMATE
                ? 0
                : Math.max(0, decayedGapMillis(nowMillis) - STALL_THRESHOLD_RATIO * usualGapMillis);
    }
}
