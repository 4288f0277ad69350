package org.tamaracktrack.core.dispatch;

/**
 * Estimates how many prompt tokens an engine processes per millisecond, from the times to the first
 * event of its answers.
 *
 * <p>Other work on an engine can only delay a prompt, so the highest recent rate is the best
 * estimate. The estimate decays, so that an engine that became slower is detected.
 */
final class PromptRateEstimator {
    /** Rate of the slowest known engines, assumed for an engine without samples. */
    private static final double INITIAL_TOKENS_PER_MILLI = 19;

    /** Half-life of the estimate while no sample reaches it. */
    private static final double HALF_LIFE_MILLIS = 20_000;

    /**
     * Shorter prompts are ignored, since the network round trip takes longer than their processing.
     */
    private static final int MIN_SAMPLE_TOKENS = 500;

    private static final double MIN_TOKENS_PER_MILLI = 1;

    /** No engine is faster; higher samples result from prompt parts in the cache of the engine. */
    private static final double MAX_TOKENS_PER_MILLI = 200;

    private double peakTokensPerMilli = INITIAL_TOKENS_PER_MILLI;
    private long updatedAtMillis = Long.MIN_VALUE;

    private PromptRateEstimator() {}

    static PromptRateEstimator create() {
        return new PromptRateEstimator();
    }

    void recordSample(int tokens, double elapsedMillis, long nowMillis) {
        if (tokens < MIN_SAMPLE_TOKENS) {
            return;
        }
        double sampleTokensPerMilli =
                Math.min(MAX_TOKENS_PER_MILLI, tokens / Math.max(1, elapsedMillis));
        peakTokensPerMilli = Math.max(tokensPerMilli(nowMillis), sampleTokensPerMilli);
        updatedAtMillis = nowMillis;
    }

    double tokensPerMilli(long nowMillis) {
        double elapsedMillis =
                updatedAtMillis == Long.MIN_VALUE ? 0 : Math.max(0, nowMillis - updatedAtMillis);
        return Math.max(
                MIN_TOKENS_PER_MILLI,
                peakTokensPerMilli * Math.pow(0.5, elapsedMillis / HALF_LIFE_MILLIS));
    }
}
