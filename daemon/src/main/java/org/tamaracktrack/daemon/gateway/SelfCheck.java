package org.tamaracktrack.daemon.gateway;

import java.util.concurrent.CompletableFuture;

/**
 * Distinguishes a daemon's own delay from an outage of the store. A read of the store fails in the
 * same way when the store is unavailable, when this daemon's threads are late, and when its own
 * link is saturated.
 */
public interface SelfCheck {

    /**
     * Returns whether this daemon's threads have run on time since a given time.
     *
     * @param sinceMillis the time, by the monotonic clock
     * @return false when a thread was late since then, or is late now
     */
    boolean threadsOnTimeSince(long sinceMillis);

    /**
     * Contacts hosts other than the store's.
     *
     * @return whether one of them answered within the time that an unsaturated link needs
     */
    CompletableFuture<Boolean> reachesOtherHosts();
}
