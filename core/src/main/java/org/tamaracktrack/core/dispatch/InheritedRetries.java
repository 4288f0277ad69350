package org.tamaracktrack.core.dispatch;

/**
 * Whether connections may still hold what a predecessor of this daemon sent. A daemon that starts
 * does not know of it, but the predecessor may have used the same share of the slack for it. What
 * holds the connections of this daemon may hold those as well, so they are known to be empty only
 * after a window in which no connection of its own was held. Confined to the traffic thread.
 */
final class InheritedRetries {
    private long lastHeldMillis;
    private boolean gone;

    private InheritedRetries(long startedMillis) {
        this.lastHeldMillis = startedMillis;
    }

    /** Returns what a daemon inherits that started at a time. */
    static InheritedRetries since(long startedMillis) {
        return new InheritedRetries(startedMillis);
    }

    /** Records that a connection was held at a time. */
    void recordHeldConnection(long atMillis) {
        lastHeldMillis = Math.max(lastHeldMillis, atMillis);
    }

    /** Returns whether retries of a predecessor may still arrive, or have in this window. */
    boolean mayExist(long windowMillis, long nowMillis) {
        gone |= nowMillis - lastHeldMillis > windowMillis;
        return !gone;
    }
}
