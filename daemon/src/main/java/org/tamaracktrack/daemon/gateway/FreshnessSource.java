package org.tamaracktrack.daemon.gateway;

import org.tamaracktrack.core.knowledge.StoreFreshness;

/**
 * Reports how up to date the information about a part of the store is. Safe for use by any thread.
 */
public interface FreshnessSource {

    /**
     * Returns the freshness of the information.
     *
     * @return the freshness
     */
    StoreFreshness freshness();

    /** Starts a read of the store at once, unless one is in progress. */
    void refresh();
}
