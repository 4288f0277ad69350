package org.tamaracktrack.standins.time;

import java.util.Objects;
import java.util.TreeMap;

/**
 * A value that its readers see late. Not safe for use by several threads.
 *
 * @param <T> the type of the value
 */
public final class Lagged<T> {
    private final TreeMap<Long, T> history = new TreeMap<>();

    private Lagged(T first) {
        history.put(Long.MIN_VALUE, first);
    }

    /**
     * Returns a value that has always been the same so far.
     *
     * @param first the value
     * @param <T> the type of the value
     * @return the lagging value
     */
    public static <T> Lagged<T> of(T first) {
        Objects.requireNonNull(first, "first is null");
        return new Lagged<>(first);
    }

    /**
     * Sets the value.
     *
     * @param nowMillis the time
     * @param value the value from now on
     */
    public void set(long nowMillis, T value) {
        Objects.requireNonNull(value, "value is null");
        history.put(nowMillis, value);
    }

    /**
     * Returns the value as it was, and forgets what was before.
     *
     * @param thenMillis a time; before that of an earlier call, the oldest value still known is
     *     returned
     * @return the value at that time
     */
    public T at(long thenMillis) {
        long since = setAt(thenMillis);
        history.headMap(since).clear();
        return history.get(since);
    }

    /**
     * Returns when the value that is seen was set.
     *
     * @param thenMillis a time
     * @return when it was set
     */
    public long setAt(long thenMillis) {
        Long since = history.floorKey(thenMillis);
        return since == null ? history.firstKey() : since;
    }

    /**
     * Returns the value as it is.
     *
     * @return the newest value
     */
    public T latest() {
        return history.lastEntry().getValue();
    }
}
