package org.tamaracktrack.daemon.target;

/** Detects from late ticks that this process was suspended. */
final class PauseDetector {
    private static final long MINIMUM_PAUSE_MILLIS = 1_000;
    private static final long SETTLING_MILLIS = 250;

    private long lastActiveAtMillis;
    private long settledAtMillis;

    private PauseDetector(long nowMillis) {
        this.lastActiveAtMillis = nowMillis;
        this.settledAtMillis = nowMillis;
    }

    static PauseDetector of(long nowMillis) {
        return new PauseDetector(nowMillis);
    }

    void tick(long nowMillis) {
        detectPause(nowMillis);
        lastActiveAtMillis = nowMillis;
    }

    /**
     * Returns the milliseconds for which a message just read must wait; 0 if there was no recent
     * pause.
     */
    long waitMillis(long nowMillis) {
        detectPause(nowMillis);
        return Math.max(0, settledAtMillis - nowMillis);
    }

    private void detectPause(long nowMillis) {
        if (nowMillis - lastActiveAtMillis > MINIMUM_PAUSE_MILLIS) {
            lastActiveAtMillis = nowMillis;
            settledAtMillis = nowMillis + SETTLING_MILLIS;
        }
    }
}
