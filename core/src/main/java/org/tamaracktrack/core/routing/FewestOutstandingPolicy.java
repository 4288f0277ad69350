package org.tamaracktrack.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.tamaracktrack.core.id.TargetId;

/**
 * Selects the candidate with the fewest outstanding attempts of this daemon. Serves as a baseline
 * for comparisons.
 */
public final class FewestOutstandingPolicy implements RoutingPolicy {
    private static final FewestOutstandingPolicy INSTANCE = new FewestOutstandingPolicy();

    private FewestOutstandingPolicy() {}

    /**
     * Returns the policy.
     *
     * @return the policy
     */
    public static FewestOutstandingPolicy of() {
        return INSTANCE;
    }

    @Override
    public Optional<TargetId> choose(RoutingQuery query, List<Candidate> candidates, long seed) {
        return candidates.stream()
                .min(
                        Comparator.comparingInt(Candidate::ownOutstanding)
                                .thenComparingLong(
                                        candidate -> SeededHash.rank(seed, candidate.target())))
                .map(Candidate::target);
    }
}
