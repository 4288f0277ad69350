package org.tamaracktrack.core.quarantine;

import java.util.Objects;

/**
 * The permit to send one request with a held suspect, to find out whether the suspect is harmless.
 *
 * @param suspect the suspect
 * @param number the number of this permit among those of the suspect, from 1
 * @param atMillis when it was granted, in milliseconds of the time of day
 */
public record SuspectTrial(Suspect suspect, int number, long atMillis) {

    /** Checks the arguments. */
    public SuspectTrial {
        Objects.requireNonNull(suspect, "suspect is null");
    }
}
