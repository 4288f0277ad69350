package org.tamaracktrack.daemon.entry;

import java.util.Set;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.retry.RetryPolicy;
import org.tamaracktrack.core.routing.RoutingQuery;

/** What the daemon does for its requests. For any thread. */
interface RequestServices {

    AttemptId newRequest();

    RetryPolicy retryRule();

    EntryMetrics metrics();

    Set<RequestRunner> inProgress();

    /** Chooses a target; the runner hears of it. */
    void route(RoutingQuery query, Set<TargetId> tried, AttemptId attempt, RequestRunner runner);

    /** An attempt that had been routed to a target ended. */
    void ended(TargetId target);

    /** An attempt ended with a whole answer. */
    void served(TargetId target, long runMillis);

    /** Claims the request's key; the runner hears of it. */
    void claim(CallerRequest request, RequestRunner runner);

    void settle(long claim, Ran ran);
}
