package org.tamaracktrack.core.copies;

/** Classifies the requests that a model has received so far. */
public enum DemandUrgency {
    /** No requests so far. */
    NONE,
    /** Only requests that can wait while a replica is loaded. */
    PATIENT,
    /** At least one request that has to be answered within seconds. */
    URGENT
}
