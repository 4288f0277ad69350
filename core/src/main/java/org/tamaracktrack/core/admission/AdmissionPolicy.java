package org.tamaracktrack.core.admission;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tamaracktrack.core.id.RequestClassId;

/** Decides which waiting request runs next, and which is refused. For one thread. */
public interface AdmissionPolicy {

    /**
     * Takes a message.
     *
     * @param message what happened
     * @param nowMillis the monotonic time
     * @return what to do, in order
     */
    List<AdmissionAction> handle(AdmissionMessage message, long nowMillis);

    /**
     * Returns how long a new request of each class would wait before it starts.
     *
     * @return the estimate for each class that the limits list
     */
    Map<RequestClassId, Long> estimatedWaitMillis();

    /**
     * Returns the needs that waiting requests have and that are not met, longest waiting first.
     *
     * @return the needs
     */
    Set<Need> unmetNeeds();

    /**
     * Returns how many requests run.
     *
     * @return the number
     */
    int running();

    /**
     * Returns how many requests wait.
     *
     * @return the number
     */
    int queued();
}
