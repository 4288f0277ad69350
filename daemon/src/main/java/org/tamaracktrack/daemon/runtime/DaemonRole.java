package org.tamaracktrack.daemon.runtime;

/** One role of the daemon, running. */
public interface DaemonRole {

    /**
     * Stops taking new work, finishes what is in progress, writes the last records, and returns; at
     * the latest when the time for a planned stop has passed.
     *
     * @return true when nothing in progress was cut
     */
    boolean drain();
}
