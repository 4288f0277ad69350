package org.tamaracktrack.core.placement;

import java.util.Optional;

/** The values of the placement setting. */
public enum PlacementKind {
    /** Follows demand only if the benefit exceeds the cost of the moves. */
    HYSTERESIS,
    /** Fills the memory with copies of all models in turn, regardless of demand. */
    STATIC,
    /** No plan: targets load on demand and evict the least recently used model. */
    LRU,
    /** Follows demand immediately, regardless of the number of moves. */
    GREEDY;

    /** The time over which the benefit of a copy is weighed against the cost of its moves. */
    public static final long DEFAULT_PAYBACK_MILLIS = 120_000;

    /** How long a change must be profitable, as a multiple of the duration of its moves. */
    public static final double DEFAULT_PERSISTENCE_FACTOR = 1;

    /**
     * Returns a new policy of this kind with the default parameters.
     *
     * @return the policy; empty for {@link #LRU}, for which no plan is published
     */
    public Optional<PlacementPolicy> policy() {
        return switch (this) {
            case HYSTERESIS ->
                    Optional.of(
                            HysteresisPlacement.of(
                                    DEFAULT_PAYBACK_MILLIS, DEFAULT_PERSISTENCE_FACTOR));
            case STATIC -> Optional.of(StaticPlacement.of());
            case GREEDY -> Optional.of(GreedyPlacement.of());
            case LRU -> Optional.empty();
        };
    }
}
