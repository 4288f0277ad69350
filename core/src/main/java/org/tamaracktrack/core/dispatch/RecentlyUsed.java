package org.tamaracktrack.core.dispatch;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * A map of bounded size that forgets what was used least recently.
 *
 * @param <K> the keys
 * @param <V> the values
 */
public final class RecentlyUsed<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;
    private static final int FIRST_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int mostEntries;

    private RecentlyUsed(int mostEntries) {
        super(FIRST_CAPACITY, LOAD_FACTOR, true);
        this.mostEntries = mostEntries;
    }

    /**
     * Returns a map without entries.
     *
     * @param mostEntries how many it keeps
     * @param <K> the keys
     * @param <V> the values
     * @return the map
     */
    public static <K, V> RecentlyUsed<K, V> of(int mostEntries) {
        if (mostEntries < 1) {
            throw new IllegalArgumentException("mostEntries is " + mostEntries);
        }
        return new RecentlyUsed<>(mostEntries);
    }

    /**
     * Returns a set without elements that forgets what was added least recently.
     *
     * @param mostElements how many it keeps
     * @param <E> the elements
     * @return the set
     */
    public static <E> Set<E> setOf(int mostElements) {
        return Collections.newSetFromMap(of(mostElements));
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > mostEntries;
    }
}
