package org.tamaracktrack.standins.http;

import java.util.Objects;

/** Thrown while a request is handled if the stand-in is to send an error response. */
public final class HttpErrorException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final int status;
    private final String code;

    private HttpErrorException(int status, String code) {
        super(code);
        this.status = status;
        this.code = code;
    }

    /**
     * Returns an exception.
     *
     * @param status the HTTP status
     * @param code the error code of the response
     * @return the exception
     */
    public static HttpErrorException of(int status, String code) {
        Objects.requireNonNull(code, "code is null");
        return new HttpErrorException(status, code);
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
     * Returns the error code of the response.
     *
     * @return the code
     */
    public String code() {
        return code;
    }
}
