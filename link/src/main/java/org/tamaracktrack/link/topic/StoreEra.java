package org.tamaracktrack.link.topic;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jboss.logging.Logger;

/**
 * Tracks the newest era of the store that this process has observed. A store that is restored from
 * a backup has lost the records written since the backup, assigns their offsets again, and begins a
 * new era. Safe for use by several threads.
 */
public final class StoreEra {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.store");
    private static final long UNKNOWN = -1;

    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private long newest = UNKNOWN;
    private int restores;

    private StoreEra() {}

    /**
     * Returns an instance that has observed no era yet.
     *
     * @return the instance
     */
    public static StoreEra unknown() {
        return new StoreEra();
    }

    /**
     * Adds a listener that is called when the store has been restored from a backup, so that
     * everything read from it before may be invalid.
     *
     * @param listener called on the thread that observed the new era
     */
    public void addRestoreListener(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Records an era that a message or a response of the store stated.
     *
     * @param era the number of the era
     * @return false if a newer era is known, so that the message or response is invalid
     */
    public boolean observe(long era) {
        synchronized (this) {
            if (era <= newest) {
                return era == newest;
            }
            boolean firstObserved = newest == UNKNOWN;
            long previous = newest;
            newest = era;
            if (firstObserved) {
                return true;
            }
            restores++;
            LOG.warn("event=store-restored era=" + era + " was=" + previous);
        }
        listeners.forEach(Runnable::run);
        return true;
    }

    /**
     * Returns the newest era observed.
     *
     * @return the number of the era; 0 if none has been observed
     */
    public synchronized long newest() {
        return Math.max(0, newest);
    }

    /**
     * Returns whether the store answered in the same era in which the call was sent.
     *
     * @param eraWhenSent the newest era known when the call was sent; 0 for none
     * @param eraOfAnswer the era stated in the answer
     * @return true if the eras are equal or none was known when the call was sent
     */
    public static boolean isSame(long eraWhenSent, long eraOfAnswer) {
        return eraWhenSent == 0 || eraWhenSent == eraOfAnswer;
    }

    /**
     * Returns how often the store has been restored from a backup since this process started.
     *
     * @return the number of restores
     */
    public synchronized int restores() {
        return restores;
    }
}
