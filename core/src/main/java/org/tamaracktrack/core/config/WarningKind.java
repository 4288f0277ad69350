package org.tamaracktrack.core.config;

/** What an accepted configuration cannot keep. */
public enum WarningKind {
    /** Not all models fit into memory at once; some are reachable by load on demand only. */
    NOT_ALL_RESIDENT,
    /** There is no memory for a second copy of some models. */
    ONE_COPY_ONLY,
    /** Some models can be placed in one data centre only. */
    ONE_DATA_CENTRE,
    /** A client account's cap is below what its share of a target comes to. */
    CAP_BELOW_SHARE,
    /** A client account's cap is above what any target runs at once. */
    CAP_ABOVE_CONCURRENCY,
    /** A client account's queue limit is above the queue limits of its classes together. */
    QUEUE_ABOVE_CLASSES
}
