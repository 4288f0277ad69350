package org.tamaracktrack.core.error;

import java.util.Objects;

/** The unchecked exception of the project; its code identifies the kind of failure. */
public final class TamaracktrackException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    private TamaracktrackException(ErrorCode code, String message, Throwable cause) {
        super(code + ": " + message, cause);
        this.code = code;
    }

    /**
     * Returns an exception without a cause.
     *
     * @param code the kind of failure
     * @param message a description for people
     * @return the exception
     */
    public static TamaracktrackException of(ErrorCode code, String message) {
        return of(code, message, null);
    }

    /**
     * Returns an exception with a cause.
     *
     * @param code the kind of failure
     * @param message a description for people
     * @param cause the cause, or null
     * @return the exception
     */
    public static TamaracktrackException of(ErrorCode code, String message, Throwable cause) {
        Objects.requireNonNull(code, "code is null");
        Objects.requireNonNull(message, "message is null");
        return new TamaracktrackException(code, message, cause);
    }

    /**
     * Returns the kind of failure.
     *
     * @return the code
     */
    public ErrorCode code() {
        return code;
    }
}
