package org.tamaracktrack.core.dispatch;

/** A target whose activity a test sets. */
final class FakeTargetActivity implements TargetActivity {
    private long lastActiveMillis = NEVER;
    private boolean ended;

    void recordActivity(long atMillis) {
        lastActiveMillis = atMillis;
    }

    void end() {
        ended = true;
    }

    @Override
    public long lastActiveMillis() {
        return lastActiveMillis;
    }

    @Override
    public boolean hasEnded() {
        return ended;
    }
}
