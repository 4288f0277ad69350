package org.tamaracktrack.core.admission;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tamaracktrack.core.id.RequestClassId;

/** Decides which waiting request runs next, and which requests are refused. Not thread-safe. */
public interface AdmissionPolicy {

    /**
     * Handles an event.
     *
     * @param message the event
     * @param nowMillis the monotonic time in milliseconds
     * @return the actions to take, in order
     */
    List<AdmissionAction> handle(AdmissionMessage message, long nowMillis);

    /**
     * Returns the estimated time in milliseconds that a new request of each class would wait before
     * it starts.
     *
     * @return the estimate for each class that the limits list
     */
    Map<RequestClassId, Long> estimatedWaitMillis();

    /**
     * Returns the needs of waiting requests that are not met, in the order of the requests that
     * have waited longest.
     *
     * @return the needs
     */
    Set<Need> unmetNeeds();

    /**
     * Returns the number of running requests.
     *
     * @return the number
     */
    int running();

    /**
     * Returns the number of waiting requests.
     *
     * @return the number
     */
    int queued();
}
