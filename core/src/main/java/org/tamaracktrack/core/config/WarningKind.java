package org.tamaracktrack.core.config;

/** The kinds of requirement that an accepted configuration cannot satisfy. */
public enum WarningKind {
    /** Not all models fit into memory at once; some are reachable by load on demand only. */
    NOT_ALL_RESIDENT,
    /** There is no memory for a second copy of some models on another target. */
    ONE_COPY_ONLY,
    /** Some models fit accelerators of one data centre only. */
    ONE_DATA_CENTRE,
    /** A client account's cap is below the number of requests that its share of a target allows. */
    CAP_BELOW_SHARE,
    /** A client account's cap is above the concurrency of every target that it uses. */
    CAP_ABOVE_CONCURRENCY,
    /** A client account's queue limit is above the sum of the queue limits of its classes. */
    QUEUE_ABOVE_CLASSES
}
