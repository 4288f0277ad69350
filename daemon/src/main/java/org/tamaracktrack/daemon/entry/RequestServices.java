package org.tamaracktrack.daemon.entry;

import java.util.Set;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.retry.RetryPolicy;
import org.tamaracktrack.core.routing.RoutingQuery;

/** The services that the daemon provides to running requests. Implementations are thread-safe. */
interface RequestServices {

    /** Registers a new request and returns the identifier of its first attempt. */
    AttemptId newFirstAttempt();

    RetryPolicy retryPolicy();

    EntryMetrics metrics();

    /** Returns the mutable set of the runners of requests in progress. */
    Set<RequestRunner> inProgress();

    /** Selects a target for an attempt and notifies the runner of the result. */
    void route(RoutingQuery query, Set<TargetId> tried, AttemptId attempt, RequestRunner runner);

    /** Records that an attempt routed to a target ended. */
    void recordEnded(TargetId target);

    /** Records that a target served an attempt with a complete answer. */
    void recordServed(TargetId target, long runMillis);

    /** Claims the request's idempotency key and notifies the runner of the result. */
    void claimKey(CallerRequest request, RequestRunner runner);

    /** Records whether the request of a claim ran. */
    void settleClaim(long claim, Ran ran);
}
