package org.tamaracktrack.core.admission;

import org.tamaracktrack.core.error.ErrorCode;

/** What admission decided. */
public sealed interface AdmissionAction {

    /**
     * Returns the request that it is about.
     *
     * @return the request
     */
    Work work();

    /**
     * Run the request now.
     *
     * @param work the request
     * @param queuedMillis how long it waited
     */
    record Start(Work work, long queuedMillis) implements AdmissionAction {}

    /**
     * Refuse the request: it did not run.
     *
     * @param work the request
     * @param code why
     * @param retryAfterMillis when trying again makes sense, or -1
     */
    record Refuse(Work work, ErrorCode code, long retryAfterMillis) implements AdmissionAction {}
}
