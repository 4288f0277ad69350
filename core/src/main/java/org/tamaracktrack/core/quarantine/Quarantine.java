package org.tamaracktrack.core.quarantine;

import java.util.Objects;
import java.util.Set;

/**
 * A snapshot of the requests during which targets ended. Immutable.
 *
 * @param suspects requests during which at least one target ended
 * @param held the suspects that are not sent to any target
 */
public record Quarantine(Set<RequestFingerprint> suspects, Set<RequestFingerprint> held) {
    private static final Quarantine EMPTY = new Quarantine(Set.of(), Set.of());

    /** Copies the sets. */
    public Quarantine {
        Objects.requireNonNull(suspects, "suspects is null");
        Objects.requireNonNull(held, "held is null");
        suspects = Set.copyOf(suspects);
        held = Set.copyOf(held);
    }

    /**
     * Returns a quarantine without requests.
     *
     * @return the quarantine
     */
    public static Quarantine empty() {
        return EMPTY;
    }

    /**
     * Returns whether there are no suspects, so that requests need no fingerprint.
     *
     * @return true when there are no suspects
     */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }
}
