package org.tamaracktrack.core.dispatch;

/** How an attempt at a target failed to produce a complete and successful answer. */
public enum AttemptEnd {
    /** No connection could be opened, so the target received nothing. */
    NOT_SENT,
    /**
     * The attempt was stopped just before it was sent, because the target is leaving or the
     * information about it exceeds the staleness bound.
     */
    WITHHELD,
    /** The target reported that it did not run the request. */
    REFUSED,
    /** The target ran the request and answered with an error. */
    FAILED,
    /** The request was sent and no valid answer was received. */
    LOST,
    /** The answer started and was cut off before its end. */
    CUT
}
