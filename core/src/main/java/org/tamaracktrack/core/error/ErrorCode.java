package org.tamaracktrack.core.error;

/** The kinds of failure, with the HTTP status sent to the caller and whether the request ran. */
public enum ErrorCode {
    BAD_IDENTIFIER(400, Ran.NO, false),
    BAD_REQUEST(400, Ran.NO, false),
    BODY_TOO_LARGE(413, Ran.NO, false),
    REQUEST_TOO_SLOW(408, Ran.NO, true),
    TOO_MANY_CONNECTIONS(503, Ran.NO, true),
    UNAUTHENTICATED(401, Ran.NO, false),
    UNKNOWN_MODEL(404, Ran.NO, false),
    UNKNOWN_ADAPTER(404, Ran.NO, false),
    UNKNOWN_SERVICE(404, Ran.NO, false),
    UNKNOWN_CLASS(400, Ran.NO, false),
    NOT_FOUND(404, Ran.NO, false),
    METHOD_NOT_ALLOWED(405, Ran.NO, false),
    /** The queue of the class is full. */
    OVERLOADED(429, Ran.NO, true),
    /** The client account is over its cap or rate. */
    ACCOUNT_LIMIT(429, Ran.NO, true),
    /** No coordinator could decide whether the client account is within its quota. */
    QUOTA_UNDECIDED(503, Ran.NO, true),
    /** The request can no longer be served within the objectives of its class. */
    CANNOT_MEET_CLASS(503, Ran.NO, true),
    /** No target that can serve the model is reachable. */
    NO_TARGET(503, Ran.NO, true),
    /** The request takes up a stream whose software version is unknown, so it runs nowhere. */
    STREAM_VERSION_UNKNOWN(503, Ran.NO, true),
    /** Several targets ended while they ran the request, so it is sent to no target. */
    QUARANTINED(503, Ran.NO, false),
    /** The target has no copy of the model and can't load one in time. */
    MODEL_NOT_RESIDENT(503, Ran.NO, true),
    /** The target or the entry daemon is leaving and accepts no further requests. */
    LEAVING(503, Ran.NO, true),
    /** The data by which the process decides about requests is older than the staleness bound. */
    OUTDATED(503, Ran.NO, true),
    /** The process has no configuration yet. */
    NOT_READY(503, Ran.NO, true),
    /** The connection to the target could not be opened, so nothing was sent. */
    TARGET_UNREACHABLE(503, Ran.NO, true),
    /** The request waited past its deadline before it was started. */
    DEADLINE_BEFORE_START(504, Ran.NO, true),
    /** The caller cancelled before the request was started. */
    CANCELLED_BEFORE_START(499, Ran.NO, false),
    /** The caller disconnected while the request was running. */
    CANCELLED(499, Ran.UNKNOWN, false),
    /** The deadline passed while the request was running. */
    DEADLINE_WHILE_RUNNING(504, Ran.UNKNOWN, false),
    /** The connection to the target was lost after the request had been sent. */
    OUTCOME_UNKNOWN(502, Ran.UNKNOWN, false),
    /** The target started to answer, and the rest of the answer was lost. */
    ANSWER_CUT(502, Ran.YES, false),
    /** The engine or service answered with an error of its own. */
    TARGET_ERROR(502, Ran.YES, false),
    /** The log is unavailable, so an idempotency key can't be claimed. */
    CLAIM_UNAVAILABLE(503, Ran.NO, true),
    /**
     * A request with the same idempotency key is running, or its entry daemon ended while it ran.
     */
    KEY_IN_USE(409, Ran.UNKNOWN, false),
    /** A request with the same idempotency key has run. */
    KEY_ALREADY_RAN(409, Ran.YES, false),
    /** The idempotency key is older than the window in which keys are remembered. */
    KEY_EXPIRED(409, Ran.UNKNOWN, false),
    /** The idempotency key was used before with a different request. */
    KEY_REUSED(422, Ran.NO, false),
    INVALID_CONFIGURATION(422, Ran.NO, false),
    SUPERSEDED(409, Ran.NO, false),
    INVALID_SETTINGS(400, Ran.NO, false),
    LOG_UNAVAILABLE(503, Ran.NO, true),
    /** An append was sent but not answered, so it may or may not have taken effect. */
    LOG_OUTCOME_UNKNOWN(503, Ran.UNKNOWN, true),
    LOG_GAP(503, Ran.NO, false),
    HOST_LIST_UNAVAILABLE(503, Ran.NO, true),
    ENGINE_UNAVAILABLE(503, Ran.NO, true),
    /** An engine refused an order with an old fencing number. */
    FENCED(409, Ran.NO, false),
    PEER_REFUSED(403, Ran.NO, false),
    FRAME_TOO_LARGE(400, Ran.NO, false),
    BAD_FRAME(400, Ran.NO, false),
    CONNECTION_CLOSED(503, Ran.UNKNOWN, true),
    /** An invariant that the program checks does not hold. */
    INVARIANT_BREACH(500, Ran.UNKNOWN, false),
    INTERNAL(500, Ran.UNKNOWN, false);

    private final int status;
    private final Ran ran;
    private final boolean retryable;

    ErrorCode(int status, Ran ran, boolean retryable) {
        this.status = status;
        this.ran = ran;
        this.retryable = retryable;
    }

    /**
     * Returns the HTTP status that a caller receives.
     *
     * @return the status, 400 to 599
     */
    public int status() {
        return status;
    }

    /**
     * Returns whether a request that fails with this code ran.
     *
     * @return whether it ran
     */
    public Ran ran() {
        return ran;
    }

    /**
     * Returns whether a later retry may succeed, so that the response has a {@code Retry-After}
     * header.
     *
     * @return true when a retry may succeed
     */
    public boolean retryable() {
        return retryable;
    }
}
