package org.tamaracktrack.daemon.runtime;

import java.net.InetSocketAddress;

/** One role of the daemon, running. */
public interface DaemonRole {

    /**
     * Returns where other daemons reach this one.
     *
     * @return the address in use
     */
    InetSocketAddress peerAddress();

    /**
     * Returns whether the role can do its work. False while it has no configuration and from the
     * start of a drain on.
     *
     * @return true when new work may be sent here
     */
    boolean ready();

    /**
     * Returns how much would be cut if the process ended now.
     *
     * @return how many requests are in progress
     */
    default int inProgress() {
        return 0;
    }

    /**
     * Stops taking new work, finishes what is in progress, writes the last records, and returns; at
     * the latest when the time for a planned stop has passed.
     *
     * @return true when nothing in progress was cut
     */
    boolean drain();
}
