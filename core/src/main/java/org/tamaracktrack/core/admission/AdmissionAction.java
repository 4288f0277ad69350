package org.tamaracktrack.core.admission;

import org.tamaracktrack.core.error.ErrorCode;

/** An action that an admission policy decided on. */
public sealed interface AdmissionAction {

    /**
     * Returns the request that the action concerns.
     *
     * @return the request
     */
    AdmissionRequest request();

    /**
     * Starts the request now.
     *
     * @param request the request
     * @param queuedMillis how long the request waited, in milliseconds
     */
    record Start(AdmissionRequest request, long queuedMillis) implements AdmissionAction {}

    /**
     * Refuses the request, which did not run.
     *
     * @param request the request
     * @param code the reason
     * @param retryAfterMillis after how many milliseconds a retry makes sense, or -1
     */
    record Refuse(AdmissionRequest request, ErrorCode code, long retryAfterMillis)
            implements AdmissionAction {}
}
