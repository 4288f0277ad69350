package org.tamaracktrack.core.dispatch;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * A map of bounded size that evicts the least recently used entry.
 *
 * @param <K> the type of keys
 * @param <V> the type of values
 */
public final class LruMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxEntries;

    private LruMap(int maxEntries) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, true);
        this.maxEntries = maxEntries;
    }

    /**
     * Returns an empty map.
     *
     * @param maxEntries the largest number of entries, at least 1
     * @param <K> the type of keys
     * @param <V> the type of values
     * @return the map
     */
    public static <K, V> LruMap<K, V> of(int maxEntries) {
        if (maxEntries < 1) {
            throw new IllegalArgumentException("maxEntries must be at least 1: " + maxEntries);
        }
        return new LruMap<>(maxEntries);
    }

    /**
     * Returns an empty set of bounded size that evicts the least recently added element.
     *
     * @param maxElements the largest number of elements, at least 1
     * @param <E> the type of elements
     * @return the set
     */
    public static <E> Set<E> setOf(int maxElements) {
        return Collections.newSetFromMap(of(maxElements));
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxEntries;
    }
}
