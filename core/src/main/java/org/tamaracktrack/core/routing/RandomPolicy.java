package org.tamaracktrack.core.routing;

import java.util.List;
import java.util.Optional;
import org.tamaracktrack.core.id.TargetId;

/** Selects any candidate with equal probability. Serves as a baseline for comparisons. */
public final class RandomPolicy implements RoutingPolicy {
    private static final RandomPolicy INSTANCE = new RandomPolicy();

    private RandomPolicy() {}

    /**
     * Returns the policy.
     *
     * @return the policy
     */
    public static RandomPolicy of() {
        return INSTANCE;
    }

    @Override
    public Optional<TargetId> choose(RoutingQuery query, List<Candidate> candidates, long seed) {
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(SeededHash.index(seed, candidates.size())).target());
    }
}
