package org.tamaracktrack.link.http;

import java.util.Objects;

/** A call failed. */
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
     * @param failure how far the call got
     * @param message a sentence for people
     * @return the exception
     */
    public static HttpCallException of(HttpFailure failure, String message) {
        Objects.requireNonNull(failure, "failure is null");
        return new HttpCallException(failure, message);
    }

    /**
     * Returns how far the call got.
     *
     * @return the failure
     */
    public HttpFailure failure() {
        return failure;
    }
}
