package org.tamaracktrack.core.stream;

import org.tamaracktrack.core.fleet.FleetSnapshot;

/** What a daemon currently knows of the registry of targets. */
public interface RegistryKnowledge {
    /**
     * Returns the time up to which every entry is known. {@link #fleet()} contains at least these
     * entries if it is called after this method.
     *
     * @return the monotonic time in milliseconds
     */
    long asOfMillis();

    /**
     * Returns the known targets.
     *
     * @return the targets
     */
    FleetSnapshot fleet();

    /**
     * Returns whether the registry can be read.
     *
     * @return false during an outage of the store, when no daemon learns of new targets
     */
    boolean isAvailable();
}
