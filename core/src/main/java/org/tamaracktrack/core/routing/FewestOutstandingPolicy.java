package org.tamaracktrack.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.tamaracktrack.core.id.TargetId;

/** The candidate with the fewest of this daemon's own attempts outstanding: a baseline. */
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
                                        candidate -> Mixing.rank(seed, candidate.target())))
                .map(Candidate::target);
    }
}
