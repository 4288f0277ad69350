package org.tamaracktrack.daemon.gateway;

import java.util.concurrent.CompletableFuture;

/**
 * Tells a daemon's own delay from that of others. A read of the store fails alike when the store is
 * away, when this daemon's threads are late, and when its own link is full.
 */
public interface SelfCheck {

    /**
     * Returns whether this daemon's threads have run in time since a moment.
     *
     * @param sinceMillis the moment, by the steady clock
     * @return false when one of them was late, or is late now
     */
    boolean punctualSince(long sinceMillis);

    /**
     * Tries to reach another host than the store's.
     *
     * @return whether one answered in the time that a link which is not full needs
     */
    CompletableFuture<Boolean> reachesOthers();
}
