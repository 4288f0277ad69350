package org.tamaracktrack.standins.http;

import java.util.Objects;

/** A call that a stand-in answers with an error. */
public final class BadCallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final int status;
    private final String code;

    private BadCallException(int status, String code) {
        super(code);
        this.status = status;
        this.code = code;
    }

    /**
     * Returns an exception.
     *
     * @param status the HTTP status
     * @param code the code in the answer
     * @return the exception
     */
    public static BadCallException of(int status, String code) {
        Objects.requireNonNull(code, "code is null");
        return new BadCallException(status, code);
    }

    /**
     * Returns the HTTP status.
     *
     * @return the status
     */
    public int status() {
        return status;
    }

    /**
     * Returns the code in the answer.
     *
     * @return the code
     */
    public String code() {
        return code;
    }
}
