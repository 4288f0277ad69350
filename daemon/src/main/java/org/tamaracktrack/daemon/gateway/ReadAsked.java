package org.tamaracktrack.daemon.gateway;

import java.util.concurrent.CompletableFuture;
import org.tamaracktrack.core.knowledge.DualTimestamp;

/** A read of the store under way, and what is known of this daemon's own delay meanwhile. */
final class ReadAsked {
    /** A failure that comes as soon as this is the word of another host, not the end of a wait. */
    private static final long PROMPT_MILLIS = 250;

    /** A read that does not wait and is younger than this is as good as another one. */
    private static final long YOUNG_MILLIS = 700;

    private final long waitMillis;
    private final DualTimestamp moment = Clocks.now();
    private final CompletableFuture<Boolean> reached;
    private boolean over;

    private ReadAsked(long waitMillis, CompletableFuture<Boolean> reached) {
        this.waitMillis = waitMillis;
        this.reached = reached;
    }

    /** A read that waits for records; its time-out alone tells nothing. */
    static ReadAsked waiting(long waitMillis) {
        return new ReadAsked(waitMillis, CompletableFuture.completedFuture(false));
    }

    /** A read that does not wait, beside which another host is tried. */
    static ReadAsked checkedBy(SelfCheck self) {
        return new ReadAsked(0, self.reachesOthers());
    }

    /** A read that is over. */
    static ReadAsked none() {
        ReadAsked none = waiting(0);
        none.end();
        return none;
    }

    /** Whether it is under way, will be answered at once, and is not late yet. */
    boolean promptAndYoung() {
        return !over && waitMillis == 0 && Clocks.agoMillis(moment) < YOUNG_MILLIS;
    }

    /** It was answered, or has failed. */
    void end() {
        over = true;
    }

    /** When it was asked. */
    DualTimestamp moment() {
        return moment;
    }

    /** Whether its failure now tells of the store, and not of this daemon's threads or link. */
    boolean tellsOfTheStore(SelfCheck self) {
        if (Clocks.now().clocksDivergedSince(moment)) {
            return false;
        }
        return Clocks.agoMillis(moment) <= PROMPT_MILLIS
                || self.punctualSince(moment.steadyMillis()) && reached.getNow(false);
    }
}
