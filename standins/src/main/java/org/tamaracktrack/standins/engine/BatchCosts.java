package org.tamaracktrack.standins.engine;

/**
 * What a batch costs.
 *
 * @param tokenMicros time for one token of a batch of one
 * @param batchPenalty the part of that time which each further request of the batch adds
 * @param promptTokenMicros time to read one prompt token
 */
public record BatchCosts(double tokenMicros, double batchPenalty, double promptTokenMicros) {
    private static final double MICROS_PER_MILLI = 1000.0;

    /**
     * Returns costs.
     *
     * @param tokenMillis time for one token of a batch of one
     * @param batchPenalty the part of that time which each further request of the batch adds
     * @param promptTokenMicros time to read one prompt token
     * @return the costs
     */
    public static BatchCosts of(double tokenMillis, double batchPenalty, double promptTokenMicros) {
        return new BatchCosts(tokenMillis * MICROS_PER_MILLI, batchPenalty, promptTokenMicros);
    }

    /**
     * Returns how long one step takes.
     *
     * @param batch how many requests get a token
     * @param promptTokens how many prompt tokens are read first
     * @return the time in microseconds
     */
    public long stepMicros(int batch, long promptTokens) {
        double tokens = tokenMicros * (1 + batchPenalty * Math.max(0, batch - 1));
        return Math.round(tokens + promptTokens * promptTokenMicros);
    }
}
