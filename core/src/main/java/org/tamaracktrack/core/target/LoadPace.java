package org.tamaracktrack.core.target;

import org.tamaracktrack.core.config.Configuration;

/**
 * Paces the loads that a target orders on its own to its static share of the weight store's rate,
 * so that all targets together stay within it without talking to each other.
 */
public final class LoadPace {
    private static final double BURST = 2;

    private final double perMilli;
    private double tokens = BURST;
    private long filledAtMillis;

    private LoadPace(double perMilli, long nowMillis) {
        this.perMilli = perMilli;
        this.filledAtMillis = nowMillis;
    }

    /**
     * Returns the pace of one target of a configuration.
     *
     * @param configuration the configuration
     * @param nowMillis the monotonic time
     * @return the pace
     */
    public static LoadPace of(Configuration configuration, long nowMillis) {
        long engines =
                configuration.targets().values().stream()
                        .filter(target -> target.kind() == Configuration.TargetKind.ENGINE)
                        .count();
        double perSecond = configuration.weightStore().loadsPerSecond() / Math.max(1, engines);
        return new LoadPace(perSecond / 1_000, nowMillis);
    }

    /**
     * Takes a load out of the share.
     *
     * @param nowMillis the monotonic time
     * @return false when the share is used up
     */
    public boolean take(long nowMillis) {
        fill(nowMillis);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /**
     * Returns how long it takes until a load is possible.
     *
     * @param nowMillis the monotonic time
     * @return 0 when one is possible now
     */
    public long waitMillis(long nowMillis) {
        fill(nowMillis);
        return tokens >= 1 ? 0 : Math.round(Math.ceil((1 - tokens) / Math.max(perMilli, 1e-9)));
    }

    private void fill(long nowMillis) {
        tokens = Math.min(BURST, tokens + (nowMillis - filledAtMillis) * perMilli);
        filledAtMillis = nowMillis;
    }
}
