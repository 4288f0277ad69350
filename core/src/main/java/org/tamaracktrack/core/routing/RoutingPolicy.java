package org.tamaracktrack.core.routing;

import java.util.List;
import java.util.Optional;
import org.tamaracktrack.core.id.TargetId;

/** Selects the target of one attempt. */
public interface RoutingPolicy {

    /**
     * Selects a target.
     *
     * @param query what the attempt needs
     * @param candidates the targets to select from, all of which can accept the request
     * @param seed the seed of the random choices; the same seed gives the same choice
     * @return the target; empty when there are no candidates
     */
    Optional<TargetId> choose(RoutingQuery query, List<Candidate> candidates, long seed);
}
