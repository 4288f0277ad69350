package org.tamaracktrack.core.placement;

import java.util.Optional;

/** The policies that the placement setting may name. */
public enum PlacementKind {
    /** Follows demand, but only where it pays for the moves. */
    HYSTERESIS,
    /** One home for each model and memory filled in turn, whatever the demand. */
    STATIC,
    /** No plan: targets load on demand and evict the least recently used model. */
    LRU,
    /** Follows demand at once, whatever the moves. */
    GREEDY;

    /** The time over which the gain of a copy is weighed against its moves. */
    public static final long DEFAULT_PAYBACK_MILLIS = 120_000;

    /** How long a change has to pay, in times of what its moves take. */
    public static final double DEFAULT_PATIENCE = 1;

    /**
     * Returns the policy.
     *
     * @return the policy; empty for the kind that publishes no plan
     */
    public Optional<PlacementPolicy> policy() {
        return switch (this) {
            case HYSTERESIS ->
                    Optional.of(HysteresisPlacement.of(DEFAULT_PAYBACK_MILLIS, DEFAULT_PATIENCE));
            case STATIC -> Optional.of(StaticPlacement.of());
            case GREEDY -> Optional.of(GreedyPlacement.of());
            case LRU -> Optional.empty();
        };
    }
}
