package org.tamaracktrack.standins.engine;

/**
 * Computes the duration of the steps of a batch.
 *
 * @param tokenMicros the time per token in a batch of one request, in microseconds
 * @param batchPenalty the share of that time that each further request of the batch adds
 * @param promptTokenMicros the time to process one prompt token, in microseconds
 */
public record BatchCosts(double tokenMicros, double batchPenalty, double promptTokenMicros) {
    private static final double MICROS_PER_MILLI = 1000.0;

    /**
     * Returns the costs of a batch.
     *
     * @param tokenMillis the time per token in a batch of one request, in milliseconds
     * @param batchPenalty the share of that time that each further request of the batch adds
     * @param promptTokenMicros the time to process one prompt token, in microseconds
     * @return the costs
     */
    public static BatchCosts of(double tokenMillis, double batchPenalty, double promptTokenMicros) {
        return new BatchCosts(tokenMillis * MICROS_PER_MILLI, batchPenalty, promptTokenMicros);
    }

    /**
     * Returns the duration of one step.
     *
     * @param batch the number of requests in the batch
     * @param promptTokens the number of prompt tokens to process in the step
     * @return the duration in microseconds
     */
    public long stepMicros(int batch, long promptTokens) {
        double tokens = tokenMicros * (1 + batchPenalty * Math.max(0, batch - 1));
        return Math.round(tokens + promptTokens * promptTokenMicros);
    }
}
