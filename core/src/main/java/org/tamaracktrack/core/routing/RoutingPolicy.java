package org.tamaracktrack.core.routing;

import java.util.List;
import java.util.Optional;
import org.tamaracktrack.core.id.TargetId;

/** Chooses the target of one attempt. */
public interface RoutingPolicy {

    /**
     * Chooses a target.
     *
     * @param query what is asked for
     * @param candidates the targets to choose from, all of them able to take the request
     * @param seed decides the random choices
     * @return the target; empty when there are no candidates
     */
    Optional<TargetId> choose(RoutingQuery query, List<Candidate> candidates, long seed);
}
