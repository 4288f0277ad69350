package org.tamaracktrack.link.http;

import com.fasterxml.jackson.annotation.JsonValue;

/** The stage at which a call failed. */
public enum HttpFailure {
    /** The request was not sent, so the server received nothing of it. */
    NOT_SENT("not_sent"),
    /** The request may have been sent in part or completely, and no response arrived. */
    NO_ANSWER("no_answer"),
    /** The response began and was cut off. */
    ANSWER_CUT("answer_cut"),
    /**
     * The answer was rejected: it exceeds a bound or is not an HTTP/1 answer. The server may have
     * executed the request.
     */
    ANSWER_INVALID("answer_invalid"),
    /** The time limit of the call passed. */
    TIMED_OUT("timed_out"),
    /** The call was cancelled locally. */
    CANCELLED("cancelled");

    private final String text;

    HttpFailure(String text) {
        this.text = text;
    }

    /**
     * Returns the name for logs and metrics.
     *
     * @return the name
     */
    @JsonValue
    public String text() {
        return text;
    }
}
