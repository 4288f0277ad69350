package org.tamaracktrack.standins.time;

import java.util.Objects;
import java.util.TreeMap;

/**
 * A value with its history, so that readers can be given an earlier value. Not safe for use by
 * several threads.
 *
 * @param <T> the type of the value
 */
public final class LaggedValue<T> {
    private final TreeMap<Long, T> history = new TreeMap<>();

    private LaggedValue(T initial) {
        history.put(Long.MIN_VALUE, initial);
    }

    /**
     * Returns an instance with an initial value, which applies to all earlier times.
     *
     * @param initial the initial value
     * @param <T> the type of the value
     * @return the instance
     */
    public static <T> LaggedValue<T> of(T initial) {
        Objects.requireNonNull(initial, "first is null");
        return new LaggedValue<>(initial);
    }

    /**
     * Sets the value.
     *
     * @param nowMillis the current time in milliseconds
     * @param value the new value
     */
    public void set(long nowMillis, T value) {
        Objects.requireNonNull(value, "value is null");
        history.put(nowMillis, value);
    }

    /**
     * Returns the value at a time, and discards earlier values.
     *
     * @param atMillis the time in milliseconds
     * @return the value at that time; the oldest retained value if that is later
     */
    public T valueAt(long atMillis) {
        long changedAtMillis = changedAtMillis(atMillis);
        history.headMap(changedAtMillis).clear();
        return history.get(changedAtMillis);
    }

    /**
     * Returns when the value at a time was set.
     *
     * @param atMillis the time in milliseconds
     * @return the time at which it was set, in milliseconds
     */
    public long changedAtMillis(long atMillis) {
        Long changedAtMillis = history.floorKey(atMillis);
        return changedAtMillis == null ? history.firstKey() : changedAtMillis;
    }

    /**
     * Returns the current value.
     *
     * @return the current value
     */
    public T latest() {
        return history.lastEntry().getValue();
    }
}
