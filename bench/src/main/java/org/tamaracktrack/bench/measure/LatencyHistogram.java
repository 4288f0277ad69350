package org.tamaracktrack.bench.measure;

import java.util.Collection;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/** A histogram of latencies of up to 10 minutes; longer ones are recorded as 10 minutes. */
public final class LatencyHistogram {
    private static final long MAX_RECORDED_MICROS = 600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1000.0;

    private final Histogram histogram = new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);

    private LatencyHistogram() {}

    /**
     * Returns an empty histogram.
     *
     * @return the histogram
     */
    public static LatencyHistogram empty() {
        return new LatencyHistogram();
    }

    /**
     * Returns a histogram of the given latencies.
     *
     * @param millis the latencies in milliseconds
     * @return the histogram
     */
    public static LatencyHistogram of(Collection<Double> millis) {
        LatencyHistogram histogram = empty();
        millis.forEach(histogram::add);
        return histogram;
    }

    /**
     * Records a latency.
     *
     * @param millis the latency in milliseconds
     */
    public void add(double millis) {
        long micros = Math.max(0, Math.round(millis * MICROS_PER_MILLI));
        histogram.recordValue(Math.min(MAX_RECORDED_MICROS, micros));
    }

    /**
     * Returns a percentile of the recorded latencies.
     *
     * @param percent the percentile, 0 to 100
     * @return the latency in milliseconds
     */
    public double percentileMillis(double percent) {
        return histogram.getValueAtPercentile(percent) / MICROS_PER_MILLI;
    }

    /**
     * Returns the number of recorded latencies.
     *
     * @return the number
     */
    public long count() {
        return histogram.getTotalCount();
    }

    /**
     * Describes the recorded latencies by their number, percentiles and maximum.
     *
     * @return the description
     */
    public String describe() {
        return String.format(
                Locale.ROOT,
                "n=%d p50=%.2f ms p95=%.2f ms p99=%.2f ms max=%.2f ms",
                count(),
                percentileMillis(50),
                percentileMillis(95),
                percentileMillis(99),
                percentileMillis(100));
    }
}
