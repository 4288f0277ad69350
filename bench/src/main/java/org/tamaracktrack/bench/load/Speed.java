package org.tamaracktrack.bench.load;

/**
 * The speed of an experiment relative to real hardware, and the costs of a request on real
 * hardware.
 *
 * @param factor the number of times that the experiment runs faster than real hardware
 * @param tokenMillis the time to generate one token in a batch of one request
 * @param batchPenalty the share of {@code tokenMillis} that each further request of a batch adds
 * @param promptTokenMicros the time to process one token of a prompt
 * @param batchSize the number of requests in a batch
 * @param answerTokens the number of tokens in an answer
 * @param promptTokens the number of tokens in a prompt
 */
public record Speed(
        double factor,
        double tokenMillis,
        double batchPenalty,
        double promptTokenMicros,
        int batchSize,
        int answerTokens,
        int promptTokens) {

    private static final double MILLIS_PER_SECOND = 1000.0;

    /** The speed and the costs that all experiments use. */
    public static final Speed EXPERIMENT = new Speed(5, 40, 0.1, 200, 4, 24, 100);

    /**
     * Returns the number of requests that one engine serves in a second of the experiment.
     *
     * @return requests per second
     */
    public double engineRequestsPerSecond() {
        double stepMillis = tokenMillis * (1 + batchPenalty * (batchSize - 1));
        double promptMillis = promptTokens * promptTokenMicros / MILLIS_PER_SECOND * batchSize;
        double batchMillis = (stepMillis * answerTokens + promptMillis) / factor;
        return batchSize * MILLIS_PER_SECOND / batchMillis;
    }

    /**
     * Converts a duration on real hardware to the duration in the experiment.
     *
     * @param millis the duration on real hardware in milliseconds
     * @return the duration in the experiment in milliseconds, at least 1
     */
    public long scaledMillis(long millis) {
        return Math.max(1, Math.round(millis / factor));
    }
}
