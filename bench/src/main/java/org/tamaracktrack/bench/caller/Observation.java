package org.tamaracktrack.bench.caller;

import java.util.Objects;

/**
 * Result of one request as observed by its caller. Times are readings of the monotonic clock.
 *
 * @param outcome the outcome
 * @param status the HTTP status, or 0 when the connection failed
 * @param code the error code, the class name of the connection failure, or empty when neither
 *     applies
 * @param startNanos time at which the request was sent
 * @param firstByteNanos time at which the first bytes of the body were received, or the end time if
 *     there were none
 * @param endNanos time at which the answer was complete or the connection failed
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
     * Returns the time from sending the request to its end.
     *
     * @return milliseconds
     */
    public double totalMillis() {
        return (endNanos - startNanos) / NANOS_PER_MILLI;
    }

    /**
     * Returns the time from sending the request to the first byte of the body.
     *
     * @return milliseconds
     */
    public double firstByteMillis() {
        return (firstByteNanos - startNanos) / NANOS_PER_MILLI;
    }
}
