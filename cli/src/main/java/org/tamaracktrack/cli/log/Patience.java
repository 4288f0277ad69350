package org.tamaracktrack.cli.log;

/** How long a command waits for the log. */
public interface Patience {

    /**
     * Waits a little before another try.
     *
     * @return false when the time is over and there must be no other try
     */
    boolean another();
}
