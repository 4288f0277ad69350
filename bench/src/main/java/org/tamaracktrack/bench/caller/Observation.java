package org.tamaracktrack.bench.caller;

import java.util.Objects;

/**
 * What a caller saw of one request. Times are of the monotonic clock.
 *
 * @param outcome what it got
 * @param status the HTTP status, or 0
 * @param code the error's code, the failure, or empty
 * @param startNanos when it was sent
 * @param firstByteNanos when the first byte of the body came, or when it ended
 * @param endNanos when it ended
 */
public record Observation(
        Outcome outcome,
        int status,
        String code,
        long startNanos,
        long firstByteNanos,
        long endNanos) {

    private static final double NANOS_PER_MILLI = 1_000_000.0;

    /** Checks the arguments. */
    public Observation {
        Objects.requireNonNull(outcome, "outcome is null");
        Objects.requireNonNull(code, "code is null");
    }

    /**
     * Returns how long all of it took.
     *
     * @return milliseconds
     */
    public double totalMillis() {
        return (endNanos - startNanos) / NANOS_PER_MILLI;
    }

    /**
     * Returns how long the first byte took.
     *
     * @return milliseconds
     */
    public double firstByteMillis() {
        return (firstByteNanos - startNanos) / NANOS_PER_MILLI;
    }
}
