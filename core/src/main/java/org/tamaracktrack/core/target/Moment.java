package org.tamaracktrack.core.target;

/**
 * One moment by both clocks of a host. Only the monotonic one measures how long something took;
 * only the other one means the same to the engine and to a successor on the same host.
 *
 * @param monotonicMillis milliseconds from an arbitrary start
 * @param wallMillis milliseconds since 1970
 */
public record Moment(long monotonicMillis, long wallMillis) {

    /**
     * Returns a moment.
     *
     * @param monotonicMillis milliseconds from an arbitrary start
     * @param wallMillis milliseconds since 1970
     * @return the moment
     */
    public static Moment of(long monotonicMillis, long wallMillis) {
        return new Moment(monotonicMillis, wallMillis);
    }
}
