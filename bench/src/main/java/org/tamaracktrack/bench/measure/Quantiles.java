package org.tamaracktrack.bench.measure;

import java.util.Collection;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/** Times summed up. */
public final class Quantiles {
    private static final long HIGHEST_MICROS = 600_000_000L;
    private static final int DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1000.0;

    private final Histogram histogram = new Histogram(HIGHEST_MICROS, DIGITS);

    private Quantiles() {}

    /**
     * Returns an empty sum.
     *
     * @return the sum
     */
    public static Quantiles empty() {
        return new Quantiles();
    }

    /**
     * Returns the sum of times.
     *
     * @param millis the times
     * @return the sum
     */
    public static Quantiles of(Collection<Double> millis) {
        Quantiles quantiles = empty();
        millis.forEach(quantiles::add);
        return quantiles;
    }

    /**
     * Adds a time.
     *
     * @param millis the time
     */
    public void add(double millis) {
        long micros = Math.max(0, Math.round(millis * MICROS_PER_MILLI));
        histogram.recordValue(Math.min(HIGHEST_MICROS, micros));
    }

    /**
     * Returns a quantile.
     *
     * @param percent 0 to 100
     * @return milliseconds
     */
    public double at(double percent) {
        return histogram.getValueAtPercentile(percent) / MICROS_PER_MILLI;
    }

    /**
     * Returns how many times there are.
     *
     * @return how many
     */
    public long count() {
        return histogram.getTotalCount();
    }

    /**
     * Returns the usual quantiles as text.
     *
     * @return count and milliseconds
     */
    public String describe() {
        return String.format(
                Locale.ROOT,
                "n=%d p50=%.2f ms p95=%.2f ms p99=%.2f ms max=%.2f ms",
                count(),
                at(50),
                at(95),
                at(99),
                at(100));
    }
}
