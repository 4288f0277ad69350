package org.tamaracktrack.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Objects;
import org.tamaracktrack.core.error.ErrorCode;

/**
 * The response to a caller whose request was not answered by any target.
 *
 * @param headers headers of the response
 * @param body its body
 */
record FailureResponse(Map<String, String> headers, byte[] body) {
    private static final String CONTENT_TYPE = "Content-Type";
    private static final String JSON = "application/json";
    private static final double MILLIS_PER_SECOND = 1_000;

    /** An earlier retry would find the same state, since the fleet is read every 0.4 s. */
    private static final double MIN_RETRY_AFTER_SECONDS = 0.3;

    /** Retries are spread over this fraction of the caller's remaining time. */
    private static final double RETRY_AFTER_SPREAD_RATIO = 0.15;

    FailureResponse {
        Objects.requireNonNull(body, "body is null");
        headers = Map.copyOf(headers);
    }

    /**
     * Returns the response for an error.
     *
     * @param code the error
     * @param retryAfterMillis when the request could probably be served; 0 when unknown
     * @param remainingMillis the caller's remaining time
     * @param draw a random number from 0 to 1
     */
    static FailureResponse of(
            ErrorCode code, long retryAfterMillis, long remainingMillis, double draw) {
        byte[] body = body(code);
        return code.retryable()
                ? new FailureResponse(
                        Map.of(
                                CONTENT_TYPE,
                                JSON,
                                "Retry-After",
                                retryAfter(retryAfterMillis, remainingMillis, draw)),
                        body)
                : new FailureResponse(Map.of(CONTENT_TYPE, JSON), body);
    }

    /** Returns the body of the response for an error. */
    static byte[] body(ErrorCode code) {
        String advice =
                code == ErrorCode.UNAUTHENTICATED
                        ? ",\"message\":\"send Authorization: Bearer with a valid key\""
                        : "";
        return ("{\"error\":\"" + code + "\",\"ran\":\"" + code.ran() + '"' + advice + '}')
                .getBytes(StandardCharsets.UTF_8);
    }

    // Callers that are refused together and retry together are refused again. Spread out, their
    // retries find the capacity that has become free in the meantime.
    private static String retryAfter(long retryAfterMillis, long remainingMillis, double draw) {
        double seconds =
                Math.max(MIN_RETRY_AFTER_SECONDS, retryAfterMillis / MILLIS_PER_SECOND)
                        + RETRY_AFTER_SPREAD_RATIO * remainingMillis / MILLIS_PER_SECOND * draw;
        return Double.toString(Math.round(seconds * MILLIS_PER_SECOND) / MILLIS_PER_SECOND);
    }
}
