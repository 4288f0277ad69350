package org.tamaracktrack.standins.weights;

import java.util.OptionalLong;
import org.tamaracktrack.standins.http.TokenBucket;

/**
 * Decides which transfers may start, and computes how long each takes. The rate is limited over
 * time, and bursts are allowed up to the number of concurrent transfers that run at full speed. Not
 * safe for use by several threads.
 */
public final class TransferLimiter {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final int concurrentLoads;
    private final double mebibytesPerSecond;
    private final TokenBucket rate;
    private double slowFactor = 1;
    private int active;
    private int highestActive;
    private long started;
    private long refused;

    private TransferLimiter(int concurrentLoads, double mebibytesPerSecond, TokenBucket rate) {
        this.concurrentLoads = concurrentLoads;
        this.mebibytesPerSecond = mebibytesPerSecond;
        this.rate = rate;
    }

    /**
     * The state of the transfers, as the control interface returns it.
     *
     * @param active the number of transfers in progress
     * @param highestActive the highest number of concurrent transfers so far
     * @param started the number of transfers started
     * @param refused the number of transfers refused
     */
    public record State(int active, int highestActive, long started, long refused) {}

    /**
     * Returns a limiter without transfers.
     *
     * @param loadsPerSecond the rate limit of transfers
     * @param concurrentLoads the number of concurrent transfers that run at full speed
     * @param mebibytesPerSecond the full speed of one transfer
     * @param nowMillis the current time in milliseconds
     * @return the limiter
     */
    public static TransferLimiter of(
            double loadsPerSecond, int concurrentLoads, double mebibytesPerSecond, long nowMillis) {
        return new TransferLimiter(
                concurrentLoads,
                mebibytesPerSecond,
                TokenBucket.of(loadsPerSecond, concurrentLoads, nowMillis));
    }

    /**
     * Starts a transfer if the rate allows it.
     *
     * @param mebibytes the size of the weights
     * @param nowMillis the current time in milliseconds
     * @return the duration in milliseconds; empty if the transfer is refused
     */
    public OptionalLong start(long mebibytes, long nowMillis) {
        if (!rate.tryTake(nowMillis)) {
            refused++;
            return OptionalLong.empty();
        }
        started++;
        active++;
        highestActive = Math.max(highestActive, active);
        double contentionFactor = Math.max(1.0, (double) active / concurrentLoads);
        double seconds = mebibytes / mebibytesPerSecond * contentionFactor * slowFactor;
        return OptionalLong.of(Math.round(seconds * MILLIS_PER_SECOND));
    }

    /** Ends a transfer. */
    public void end() {
        active--;
    }

    /**
     * Sets the factor by which later transfers are slowed down.
     *
     * @param factor the factor by which the duration is multiplied
     */
    public void setSlowFactor(double factor) {
        slowFactor = factor;
    }

    /**
     * Returns the state of the transfers.
     *
     * @return the state
     */
    public State state() {
        return new State(active, highestActive, started, refused);
    }
}
