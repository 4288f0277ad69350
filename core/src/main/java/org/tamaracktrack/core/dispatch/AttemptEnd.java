package org.tamaracktrack.core.dispatch;

/** How an attempt at a target ended without a whole, good answer. */
public enum AttemptEnd {
    /** No connection could be opened: the target saw nothing. */
    NOT_SENT,
    /**
     * It was kept back at the last moment: the target leaves, or what is known of it is too old.
     */
    WITHHELD,
    /** The target said that it did not run the request. */
    REFUSED,
    /** The target answered with a failure of its own, after it ran the request. */
    FAILED,
    /** The request was sent and no answer came that can be trusted. */
    LOST,
    /** The answer began and broke off. */
    CUT
}
