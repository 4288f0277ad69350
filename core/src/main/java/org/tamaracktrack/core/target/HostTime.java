package org.tamaracktrack.core.target;

/**
 * A point in time on both clocks of a host. Durations are measured by the monotonic clock; the wall
 * clock is comparable with the clock of the engine and of a successor process on the same host.
 *
 * @param monotonicMillis milliseconds of the monotonic clock, from an arbitrary origin
 * @param wallMillis milliseconds since the Unix epoch
 */
public record HostTime(long monotonicMillis, long wallMillis) {

    /**
     * Returns a point in time.
     *
     * @param monotonicMillis milliseconds of the monotonic clock, from an arbitrary origin
     * @param wallMillis milliseconds since the Unix epoch
     * @return the point in time
     */
    public static HostTime of(long monotonicMillis, long wallMillis) {
        return new HostTime(monotonicMillis, wallMillis);
    }
}
