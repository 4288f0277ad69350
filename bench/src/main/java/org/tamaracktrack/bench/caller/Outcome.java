package org.tamaracktrack.bench.caller;

/** What a caller got. */
public enum Outcome {
    /** The whole answer to its own request. */
    WHOLE,
    /** An error that says that the request did not run. */
    NOT_RUN,
    /** An error that says that the request ran, or may have. */
    MAY_HAVE_RUN,
    /** The connection broke, before or within the answer. */
    BROKEN,
    /** Something that looks like a good answer and is not: not whole, or not its own. */
    WRONG
}
