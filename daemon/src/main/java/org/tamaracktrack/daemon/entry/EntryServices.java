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

/** The services for running requests, which post their work to the control thread. */
final class EntryServices implements RequestServices {
    private final IncarnationId incarnation;
    private final ControlThread control;
    private final TargetDirectory targets;
    private final ClaimService claims;
    private final EntryMetrics metrics;
    private final RetryBudget retryBudget = RetryBudget.of(ControlThread.nowMillis());
    private final RetryPolicy retryPolicy = RetryPolicy.of(retryBudget);
    private final AtomicLong requestCount = new AtomicLong();
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
    public AttemptId newFirstAttempt() {
        retryBudget.earn();
        return AttemptId.of(incarnation, requestCount.getAndIncrement(), 0);
    }

    @Override
    public RetryPolicy retryPolicy() {
        return retryPolicy;
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
    public void recordEnded(TargetId target) {
        control.post(() -> targets.recordEnded(target));
    }

    @Override
    public void recordServed(TargetId target, long runMillis) {
        control.post(() -> targets.recordServed(target, runMillis));
    }

    @Override
    public void claimKey(CallerRequest request, RequestRunner runner) {
        control.post(() -> claims.claim(request, runner));
    }

    @Override
    public void settleClaim(long claim, Ran ran) {
        control.post(() -> claims.settle(claim, ran));
    }
}
