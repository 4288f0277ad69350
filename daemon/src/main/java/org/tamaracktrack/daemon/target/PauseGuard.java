package org.tamaracktrack.daemon.target;

/** Notices that this process did not run for a while, from ticks that came late. */
final class PauseGuard {
    private static final long PAUSE_MILLIS = 1_000;
    private static final long SETTLE_MILLIS = 250;

    private long tickedAtMillis;
    private long settledAtMillis;

    private PauseGuard(long nowMillis) {
        this.tickedAtMillis = nowMillis;
        this.settledAtMillis = nowMillis;
    }

    static PauseGuard of(long nowMillis) {
        return new PauseGuard(nowMillis);
    }

    void tick(long nowMillis) {
        notice(nowMillis);
        tickedAtMillis = nowMillis;
    }

    /** How long what has just been read must wait; 0 when there was no pause. */
    long waitMillis(long nowMillis) {
        notice(nowMillis);
        return Math.max(0, settledAtMillis - nowMillis);
    }

    private void notice(long nowMillis) {
        if (nowMillis - tickedAtMillis > PAUSE_MILLIS) {
            tickedAtMillis = nowMillis;
            settledAtMillis = nowMillis + SETTLE_MILLIS;
        }
    }
}
