package org.tamaracktrack.bench.caller;

/** Outcome of a request for its caller. */
public enum Outcome {
    /** A complete answer that belongs to the request. */
    WHOLE,
    /** An error that states that the request did not run. */
    NOT_RUN,
    /** An error that doesn't rule out that the request ran. */
    MAY_HAVE_RUN,
    /** The connection failed before or during the answer. */
    BROKEN,
    /** A success status with an incomplete answer, or with the answer to another request. */
    WRONG
}
