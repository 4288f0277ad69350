package org.tamaracktrack.core.dispatch;

/**
 * How many prompt tokens an engine reads in a millisecond, learned from the times to first events.
 *
 * <p>An engine is delayed by other work, never sped up, so the quickest reading of late is nearest
 * to its speed. What was learned fades, so that an engine that turned slow is noticed.
 */
final class ReadingSpeed {
    /** The slowest engines known read as much; an engine that is new is taken to be like them. */
    private static final double FIRST_TOKENS_PER_MILLI = 19;

    /** Half of what was learned is gone after this long without a reading as quick. */
    private static final double HALF_LIFE_MILLIS = 20_000;

    /** Shorter prompts take less time to read than the way there and back. */
    private static final int LEAST_TOKENS = 500;

    private static final double LEAST_TOKENS_PER_MILLI = 1;

    /** No engine reads quicker; a greater figure comes of parts that were kept from before. */
    private static final double MOST_TOKENS_PER_MILLI = 200;

    private double quickest = FIRST_TOKENS_PER_MILLI;
    private long atMillis = Long.MIN_VALUE;

    private ReadingSpeed() {}

    static ReadingSpeed unknown() {
        return new ReadingSpeed();
    }

    void note(int tokens, double tookMillis, long nowMillis) {
        if (tokens < LEAST_TOKENS) {
            return;
        }
        double seen = Math.min(MOST_TOKENS_PER_MILLI, tokens / Math.max(1, tookMillis));
        quickest = Math.max(tokensPerMilli(nowMillis), seen);
        atMillis = nowMillis;
    }

    double tokensPerMilli(long nowMillis) {
        double passed = atMillis == Long.MIN_VALUE ? 0 : Math.max(0, nowMillis - atMillis);
        return Math.max(
                LEAST_TOKENS_PER_MILLI, quickest * Math.pow(0.5, passed / HALF_LIFE_MILLIS));
    }
}
