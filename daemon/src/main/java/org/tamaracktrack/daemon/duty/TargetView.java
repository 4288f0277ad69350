package org.tamaracktrack.daemon.duty;

import java.util.Map;
import java.util.Objects;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.message.Message;

/** The last observed states of the targets. Used on the control thread only. */
public interface TargetView {

    /**
     * Returns the targets that have ever sent a load report.
     *
     * @return the last observation of each
     */
    Map<TargetId, TargetObservation> targets();

    /**
     * The last observation of a target.
     *
     * @param load its last load report
     * @param ageMillis the age of the report in milliseconds
     * @param reachable whether a connection to the target is open
     */
    record TargetObservation(Message.Load load, long ageMillis, boolean reachable) {

        /** Checks the arguments. */
        public TargetObservation {
            Objects.requireNonNull(load, "load is null");
        }
    }
}
