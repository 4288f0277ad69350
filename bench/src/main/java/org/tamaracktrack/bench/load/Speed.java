package org.tamaracktrack.bench.load;

/**
 * How much faster than on real hardware everything runs, and what a request costs there.
 *
 * @param factor how many times faster
 * @param tokenMillis time for one token of a batch of one, on real hardware
 * @param batchPenalty the part of that time which each further request of the batch adds
 * @param promptTokenMicros time to read one prompt token, on real hardware
 * @param batch requests in one batch
 * @param answerTokens tokens of an answer
 * @param promptTokens tokens of a prompt
 */
public record Speed(
        double factor,
        double tokenMillis,
        double batchPenalty,
        double promptTokenMicros,
        int batch,
        int answerTokens,
        int promptTokens) {

    private static final double MILLIS_PER_SECOND = 1000.0;

    /** What the experiments use. */
    public static final Speed EXPERIMENT = new Speed(5, 40, 0.1, 200, 4, 24, 100);

    /**
     * Returns how many requests one engine can run in a second, as fast as the experiment runs.
     *
     * @return requests a second
     */
    public double engineRate() {
        double step = tokenMillis * (1 + batchPenalty * (batch - 1));
        double reading = promptTokens * promptTokenMicros / MILLIS_PER_SECOND * batch;
        double millis = (step * answerTokens + reading) / factor;
        return batch * MILLIS_PER_SECOND / millis;
    }

    /**
     * Returns a real time as short as it is in the experiment.
     *
     * @param millis the real time
     * @return the time in the experiment
     */
    public long compressed(long millis) {
        return Math.max(1, Math.round(millis / factor));
    }
}
