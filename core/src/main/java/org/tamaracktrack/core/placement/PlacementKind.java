package org.tamaracktrack.core.placement;

/** The policies that the placement setting may name. */
public enum PlacementKind {
    /** Follows demand, but only where it pays for the moves. */
    HYSTERESIS,
    /** One home for each model, whatever the demand. */
    STATIC,
    /** No plan: targets load on demand and evict the least recently used model. */
    LRU,
    /** Follows demand at once, whatever the moves. */
    GREEDY
}
