package org.tamaracktrack.core.quarantine;

import java.util.Collection;
import java.util.OptionalLong;

/** Decides from the ends of targets whether a suspect is kept from all targets. */
public interface HoldPolicy {

    /**
     * Returns whether the suspect is held.
     *
     * @param ends one for each target that ended
     * @return true when it is sent to no target
     */
    boolean holds(Collection<ObservedEnd> ends);

    /**
     * Returns when one request may be sent to find out whether a held suspect is harmless.
     *
     * @param ends one for each target that ended
     * @return the time of day in milliseconds; empty when none may
     */
    OptionalLong trialDueMillis(Collection<ObservedEnd> ends);
}
