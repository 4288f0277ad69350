package org.tamaracktrack.daemon.gateway;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.tamaracktrack.core.quarantine.Suspect;

/** Permits requests with held suspects, of which all daemons together send only a few. */
public interface TrialAuthority {
    /** Permits no request. */
    TrialAuthority NONE = (suspects, listener) -> listener.accept(Optional.empty());

    /** The permit to send one request once. */
    interface Permit {
        /** Gives the permit back because no byte of the request was sent. */
        void giveBack();
    }

    /**
     * Asks for a permit. Safe for use by any thread.
     *
     * @param suspects all held suspects of the request
     * @param listener receives the permit, on any thread; empty when the request must not be sent
     */
    void request(Set<Suspect> suspects, Consumer<Optional<Permit>> listener);
}
