package org.tamaracktrack.daemon.duty;

import java.util.Map;
import java.util.Objects;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.message.Message;

/** What an entry daemon last heard of the targets. For the control thread. */
public interface TargetView {

    /**
     * Returns the targets that were ever heard of.
     *
     * @return what was last seen of each
     */
    Map<TargetId, Seen> targets();

    /**
     * What was last seen of a target.
     *
     * @param load its last load report
     * @param ageMillis how old the report is
     * @param reachable whether a connection to it is up
     */
    record Seen(Message.Load load, long ageMillis, boolean reachable) {

        /** Checks the arguments. */
        public Seen {
            Objects.requireNonNull(load, "load is null");
        }
    }
}
