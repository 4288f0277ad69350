package org.tamaracktrack.daemon.gateway;

import java.util.concurrent.CompletableFuture;
import org.tamaracktrack.core.knowledge.Moment;

/** A read of the store under way, and what is known of this daemon's own delay meanwhile. */
final class ReadAsked {
    /** A failure that comes as soon as this is the word of another host, not the end of a wait. */
    private static final long PROMPT_MILLIS = 250;

    private final Moment moment = Clocks.now();
    private final CompletableFuture<Boolean> reached;

    private ReadAsked(CompletableFuture<Boolean> reached) {
        this.reached = reached;
    }

    /** A read of which a failure by a time limit tells nothing. */
    static ReadAsked unchecked() {
        return new ReadAsked(CompletableFuture.completedFuture(false));
    }

    /** A read beside which another host is tried. */
    static ReadAsked checkedBy(SelfCheck self) {
        return new ReadAsked(self.reachesOthers());
    }

    /** When it was asked. */
    Moment moment() {
        return moment;
    }

    /** Whether its failure now tells of the store, and not of this daemon's threads or link. */
    boolean tellsOfTheStore(SelfCheck self) {
        if (Clocks.now().apart(moment)) {
            return false;
        }
        return Clocks.agoMillis(moment) <= PROMPT_MILLIS
                || self.punctualSince(moment.steadyMillis()) && reached.getNow(false);
    }
}
