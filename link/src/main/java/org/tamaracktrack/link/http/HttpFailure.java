package org.tamaracktrack.link.http;

import com.fasterxml.jackson.annotation.JsonValue;

/** How far a call got before it failed. */
public enum HttpFailure {
    /** The connection could not be opened: the server saw nothing. */
    NOT_SENT("not_sent"),
    /** Some of the call may have been sent and no answer came. */
    NO_ANSWER("no_answer"),
    /** The answer began and broke off. */
    ANSWER_CUT("answer_cut"),
    /** The time for the call passed. */
    TIMED_OUT("timed_out"),
    /** This side cancelled the call. */
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
