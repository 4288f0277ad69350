package org.tamaracktrack.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Objects;
import org.tamaracktrack.core.error.ErrorCode;

/**
 * What a caller is told of a request that no target answered.
 *
 * @param headers headers of the answer
 * @param body its body
 */
record FailureAnswer(Map<String, String> headers, byte[] body) {
    private static final String CONTENT_TYPE = "Content-Type";
    private static final String JSON = "application/json";
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Sooner nothing has changed: the fleet is read every 0.4 s. */
    private static final double RETRY_AFTER_LEAST_SECONDS = 0.3;

    /** Returns are spread over this part of what is left of the caller's time. */
    private static final double RETRY_AFTER_SPREAD = 0.15;

    FailureAnswer {
        Objects.requireNonNull(body, "body is null");
        headers = Map.copyOf(headers);
    }

    /**
     * Returns an answer.
     *
     * @param code what failed
     * @param comeBackMillis when the request could probably be served; 0 when that is not known
     * @param leftMillis what is left of the caller's time
     * @param draw a random number from 0 to 1
     */
    static FailureAnswer of(ErrorCode code, long comeBackMillis, long leftMillis, double draw) {
        byte[] body =
                ("{\"error\":\"" + code + "\",\"ran\":\"" + code.ran() + "\"}")
                        .getBytes(StandardCharsets.UTF_8);
        return code.retryable()
                ? new FailureAnswer(
                        Map.of(
                                CONTENT_TYPE,
                                JSON,
                                "Retry-After",
                                retryAfter(comeBackMillis, leftMillis, draw)),
                        body)
                : new FailureAnswer(Map.of(CONTENT_TYPE, JSON), body);
    }

    // Callers that were refused in the same moment and come back in the same moment are refused
    // again; spread out they meet the room that became free meanwhile.
    private static String retryAfter(long comeBackMillis, long leftMillis, double draw) {
        double seconds =
                Math.max(RETRY_AFTER_LEAST_SECONDS, comeBackMillis / MILLIS_PER_SECOND)
                        + RETRY_AFTER_SPREAD * leftMillis / MILLIS_PER_SECOND * draw;
        return Double.toString(Math.round(seconds * MILLIS_PER_SECOND) / MILLIS_PER_SECOND);
    }
}
