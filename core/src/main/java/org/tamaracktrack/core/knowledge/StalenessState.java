package org.tamaracktrack.core.knowledge;

/** Whether information about the store may be used, from the best state to the worst. */
public enum StalenessState {
    /** The age is within the bound. */
    FRESH,
    /**
     * The age exceeds the bound, but the information may be used because the store is unavailable.
     */
    TOLERATED,
    /**
     * The age exceeds the bound although the store may be available, so the information must not be
     * used.
     */
    STALE
}
