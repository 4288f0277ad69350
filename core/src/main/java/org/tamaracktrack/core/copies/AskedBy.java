package org.tamaracktrack.core.copies;

/** What kind of requests have asked for a model. */
public enum AskedBy {
    /** None so far. */
    NOBODY,
    /** Only requests that can wait for a copy to be loaded. */
    PATIENT,
    /** Requests that have to be answered within seconds, among others. */
    URGENT
}
