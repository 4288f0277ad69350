package org.tamaracktrack.core.quarantine;

import java.util.Objects;
import java.util.Set;

/**
 * Which requests targets have ended under, at one moment. Immutable.
 *
 * @param suspects requests under which at least one target ended
 * @param held those of them that are not sent to any target
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
     * Returns whether no target ended under any request, so that no fingerprint need be taken.
     *
     * @return true when there are none
     */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }
}
