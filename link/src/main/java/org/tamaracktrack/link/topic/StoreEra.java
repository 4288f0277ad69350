package org.tamaracktrack.link.topic;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jboss.logging.Logger;

/**
 * The newest era of the store that this process has heard of. A store that comes back from a copy
 * has lost what was written since the copy was made, gives offsets out a second time, and begins
 * another era. Safe for use by several threads.
 */
public final class StoreEra {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.store");
    private static final long UNKNOWN = -1;

    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private long newest = UNKNOWN;
    private int restores;

    private StoreEra() {}

    /**
     * Returns an era that is not known yet.
     *
     * @return the era
     */
    public static StoreEra unknown() {
        return new StoreEra();
    }

    /**
     * Names who hears that the store came back from a copy: everything read of it may be void.
     *
     * @param listener hears of it, on any thread
     */
    public void onRestored(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Somebody named an era.
     *
     * @param era its number
     * @return false when a newer one is known, so that what came with it is void
     */
    public boolean note(long era) {
        synchronized (this) {
            if (era <= newest) {
                return era == newest;
            }
            boolean first = newest == UNKNOWN;
            long before = newest;
            newest = era;
            if (first) {
                return true;
            }
            restores++;
            LOG.warn("event=store-restored era=" + era + " was=" + before);
        }
        listeners.forEach(Runnable::run);
        return true;
    }

    /**
     * Returns the newest era.
     *
     * @return its number; 0 while none is known
     */
    public synchronized long newest() {
        return Math.max(0, newest);
    }

    /**
     * Returns whether an answer belongs to the era in which its call was sent.
     *
     * @param sent the era known then
     * @param answered the era that the answer names
     * @return true also when no era was known then
     */
    public static boolean same(long sent, long answered) {
        return sent == 0 || sent == answered;
    }

    /**
     * Returns how often the store came back from a copy while this process ran.
     *
     * @return the number
     */
    public synchronized int restores() {
        return restores;
    }
}
