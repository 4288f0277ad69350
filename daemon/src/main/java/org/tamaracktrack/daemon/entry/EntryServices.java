package org.tamaracktrack.daemon.entry;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.retry.RetryBudget;
import org.tamaracktrack.core.retry.RetryPolicy;
import org.tamaracktrack.core.routing.RoutingQuery;
import org.tamaracktrack.daemon.runtime.ControlThread;

/** What the daemon does for its requests: passes it on to the control thread. */
final class EntryServices implements RequestServices {
    private final IncarnationId incarnation;
    private final ControlThread control;
    private final TargetDirectory targets;
    private final ClaimService claims;
    private final EntryMetrics metrics;
    private final RetryBudget budget = RetryBudget.of(ControlThread.nowMillis());
    private final RetryPolicy rule = RetryPolicy.of(budget);
    private final AtomicLong requests = new AtomicLong();
    private final Set<RequestRunner> inProgress = ConcurrentHashMap.newKeySet();

    private EntryServices(
            IncarnationId incarnation,
            ControlThread control,
            TargetDirectory targets,
            ClaimService claims,
            EntryMetrics metrics) {
        this.incarnation = incarnation;
        this.control = control;
        this.targets = targets;
        this.claims = claims;
        this.metrics = metrics;
    }

    static EntryServices of(
            IncarnationId incarnation,
            ControlThread control,
            TargetDirectory targets,
            ClaimService claims,
            EntryMetrics metrics) {
        return new EntryServices(incarnation, control, targets, claims, metrics);
    }

    @Override
    public AttemptId newRequest() {
        budget.earn();
        return AttemptId.of(incarnation, requests.getAndIncrement(), 0);
    }

    @Override
    public RetryPolicy retryRule() {
        return rule;
    }

    @Override
    public EntryMetrics metrics() {
        return metrics;
    }

    @Override
    public Set<RequestRunner> inProgress() {
        return inProgress;
    }

    @Override
    public void route(
            RoutingQuery query, Set<TargetId> tried, AttemptId attempt, RequestRunner runner) {
        control.post(() -> targets.route(query, tried, attempt, runner));
    }

    @Override
    public void ended(TargetId target) {
        control.post(() -> targets.ended(target));
    }

    @Override
    public void served(TargetId target, long runMillis) {
        control.post(() -> targets.served(target, runMillis));
    }

    @Override
    public void claim(CallerRequest request, RequestRunner runner) {
        control.post(() -> claims.claim(request, runner));
    }

    @Override
    public void settle(long claim, Ran ran) {
        control.post(() -> claims.settle(claim, ran));
    }
}
