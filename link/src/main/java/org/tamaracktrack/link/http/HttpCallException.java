package org.tamaracktrack.link.http;

import java.util.Objects;

/** Thrown when an HTTP call fails. */
public final class HttpCallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final HttpFailure failure;

    private HttpCallException(HttpFailure failure, String message) {
        super(message);
        this.failure = failure;
    }

    /**
     * Returns an exception.
     *
     * @param failure the stage at which the call failed
     * @param message a description for log lines
     * @return the exception
     */
    public static HttpCallException of(HttpFailure failure, String message) {
        Objects.requireNonNull(failure, "failure is null");
        return new HttpCallException(failure, message);
    }

    /**
     * Returns the stage at which the call failed.
     *
     * @return the failure
     */
    public HttpFailure failure() {
        return failure;
    }
}
