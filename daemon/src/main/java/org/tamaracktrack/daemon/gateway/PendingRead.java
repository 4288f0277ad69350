package org.tamaracktrack.daemon.gateway;

import java.util.concurrent.CompletableFuture;
import org.tamaracktrack.core.knowledge.DualTimestamp;

/**
 * A read of the store, with the result of the check for this daemon's own delay that runs beside
 * it.
 */
final class PendingRead {
    /** A failure within this time was reported by another host and is not a timeout. */
    private static final long PROMPT_FAILURE_MILLIS = 250;

    /** A read that does not wait and is younger than this makes another one unnecessary. */
    private static final long RECENT_MILLIS = 700;

    private final long waitMillis;
    private final DualTimestamp startedAt = Clocks.now();
    private final CompletableFuture<Boolean> otherHostReached;
    private boolean finished;

    private PendingRead(long waitMillis, CompletableFuture<Boolean> otherHostReached) {
        this.waitMillis = waitMillis;
        this.otherHostReached = otherHostReached;
    }

    /** Returns a read that waits for records; its timeout alone shows nothing about the store. */
    static PendingRead waitingForRecords(long waitMillis) {
        return new PendingRead(waitMillis, CompletableFuture.completedFuture(false));
    }

    /** Returns a read that does not wait, during which another host is contacted. */
    static PendingRead withLinkCheck(SelfCheck selfCheck) {
        return new PendingRead(0, selfCheck.reachesOtherHosts());
    }

    /** Returns a read that has ended. */
    static PendingRead alreadyFinished() {
        PendingRead read = waitingForRecords(0);
        read.finish();
        return read;
    }

    /** Returns whether the read is in progress, does not wait for records and is not late yet. */
    boolean isRecentWithoutWait() {
        return !finished && waitMillis == 0 && Clocks.millisSince(startedAt) < RECENT_MILLIS;
    }

    /** Records that the read was answered or has failed. */
    void finish() {
        finished = true;
    }

    /** Returns when the read was started. */
    DualTimestamp startedAt() {
        return startedAt;
    }

    /**
     * Returns whether a failure now is due to the store, and not to this daemon's threads or link.
     */
    boolean indicatesStoreFailure(SelfCheck selfCheck) {
        if (Clocks.now().clocksDivergedSince(startedAt)) {
            return false;
        }
        return Clocks.millisSince(startedAt) <= PROMPT_FAILURE_MILLIS
                || selfCheck.threadsOnTimeSince(startedAt.steadyMillis())
                        && otherHostReached.getNow(false);
    }
}
