package org.tamaracktrack.daemon.gateway;

import org.tamaracktrack.core.knowledge.StoreFreshness;

/** Knows a part of the store. Safe for use by any thread. */
public interface KnowledgeSource {

    /**
     * Returns how far what is known reaches.
     *
     * @return the knowledge
     */
    StoreFreshness knowledge();

    /** Asks the store at once, unless that is under way. */
    void refresh();
}
