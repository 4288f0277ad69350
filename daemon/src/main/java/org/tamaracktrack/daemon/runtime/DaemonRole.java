package org.tamaracktrack.daemon.runtime;

import java.net.InetSocketAddress;

/** A running role of the daemon. */
public interface DaemonRole {

    /**
     * Returns the address on which other daemons can connect to this one.
     *
     * @return the address in use
     */
    InetSocketAddress peerAddress();

    /**
     * Returns whether the role accepts new requests. It does not while it has no configuration, nor
     * from the start of a drain on.
     *
     * @return true if new requests may be sent to this daemon
     */
    boolean ready();

    /**
     * Returns the number of requests that would be cut off if the process ended now.
     *
     * @return the number of requests in progress
     */
    default int requestsInProgress() {
        return 0;
    }

    /**
     * Rejects new requests, waits until those in progress have ended, writes the last records, and
     * returns. Returns at the latest when the time limit of a planned stop has passed.
     *
     * @return true if no request in progress was cut off
     */
    boolean drain();
}
