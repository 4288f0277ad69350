package org.tamaracktrack.standins.weights;

import java.util.OptionalLong;
import org.tamaracktrack.standins.http.TokenBucket;

/**
 * Which transfers may start, and how long each takes. The store's rate is kept over time, with
 * bursts as large as the number of loads that run at once at full speed. Not safe for use by
 * several threads.
 */
public final class TransferBook {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final int concurrentLoads;
    private final double mebibytesPerSecond;
    private final TokenBucket rate;
    private double slowFactor = 1;
    private int active;
    private int highestActive;
    private long started;
    private long refused;

    private TransferBook(int concurrentLoads, double mebibytesPerSecond, TokenBucket rate) {
        this.concurrentLoads = concurrentLoads;
        this.mebibytesPerSecond = mebibytesPerSecond;
        this.rate = rate;
    }

    /**
     * What the control interface tells.
     *
     * @param active transfers under way
     * @param highestActive the most there ever were at once
     * @param started transfers started
     * @param refused transfers refused
     */
    public record State(int active, int highestActive, long started, long refused) {}

    /**
     * Returns a book without transfers.
     *
     * @param loadsPerSecond the limit of the rate
     * @param concurrentLoads loads at once at full speed
     * @param mebibytesPerSecond the full speed of one transfer
     * @param nowMillis the time
     * @return the book
     */
    public static TransferBook of(
            double loadsPerSecond, int concurrentLoads, double mebibytesPerSecond, long nowMillis) {
        return new TransferBook(
                concurrentLoads,
                mebibytesPerSecond,
                TokenBucket.of(loadsPerSecond, concurrentLoads, nowMillis));
    }

    /**
     * Starts a transfer if the rate allows it.
     *
     * @param mebibytes its size
     * @param nowMillis the time
     * @return how long it takes; empty when it is refused
     */
    public OptionalLong start(long mebibytes, long nowMillis) {
        if (!rate.take(nowMillis)) {
            refused++;
            return OptionalLong.empty();
        }
        started++;
        active++;
        highestActive = Math.max(highestActive, active);
        double crowding = Math.max(1.0, (double) active / concurrentLoads);
        double seconds = mebibytes / mebibytesPerSecond * crowding * slowFactor;
        return OptionalLong.of(Math.round(seconds * MILLIS_PER_SECOND));
    }

    /** Ends a transfer. */
    public void end() {
        active--;
    }

    /**
     * Makes later transfers slower.
     *
     * @param factor how many times slower than the full speed
     */
    public void slow(double factor) {
        slowFactor = factor;
    }

    /**
     * Returns what the control interface tells.
     *
     * @return the state
     */
    public State state() {
        return new State(active, highestActive, started, refused);
    }
}
