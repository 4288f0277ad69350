package org.tamaracktrack.daemon.gateway;

import java.util.List;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.dispatch.AttemptEnd;
import org.tamaracktrack.core.dispatch.DispatchRequest;
import org.tamaracktrack.core.dispatch.FailurePolicy;
import org.tamaracktrack.core.dispatch.RetryAllowance;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.quarantine.RequestFingerprint;

/** The lines that tell what became of a request. */
final class RequestLog {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.requests");

    /** Figures are written with one digit after the point. */
    private static final double TENTHS = 10;

    private RequestLog() {}

    /**
     * How a request ended.
     *
     * @param attempt the caller's name for it
     * @param route its route
     * @param work where it went and what it needed
     * @param outcome how it ended
     * @param status the status that the caller got; 0 for none
     * @param tried targets that had it
     * @param refusals targets that said they did not run it
     * @param firstMillis until the first piece of the answer; -1 for none
     * @param longestGapMillis the longest pause between two pieces of it
     * @param totalMillis until its end
     * @param events events passed on
     * @param configuration the version that its route is from
     * @param registryAgeMillis how old the knowledge of the registry was when its last target was
     *     chosen; -1 when none was
     */
    record Ended(
            String attempt,
            String route,
            DispatchRequest work,
            String outcome,
            int status,
            List<TargetId> tried,
            int refusals,
            long firstMillis,
            long longestGapMillis,
            long totalMillis,
            int events,
            long configuration,
            long registryAgeMillis) {}

    static void ended(Ended request) {
        LOG.info(
                "event=request request="
                        + request.attempt()
                        + " route="
                        + request.route()
                        + " service="
                        + request.work().service()
                        + request.work().need().map(need -> " model=" + need).orElse("")
                        + " outcome="
                        + request.outcome()
                        + " status="
                        + request.status()
                        + " targets="
                        + request.tried()
                        + " refusals="
                        + request.refusals()
                        + " first_ms="
                        + request.firstMillis()
                        + " gap_ms="
                        + request.longestGapMillis()
                        + " total_ms="
                        + request.totalMillis()
                        + " events="
                        + request.events()
                        + " configuration="
                        + request.configuration()
                        + " registry_age_ms="
                        + request.registryAgeMillis());
    }

    /**
     * How an attempt at a target ended badly, and what followed.
     *
     * @param attempt the caller's name for the request
     * @param fingerprint the request's, where it is known
     * @param target the target
     * @param end how it ended
     * @param afterMillis since the request arrived
     * @param leftMillis until its deadline
     * @param verdict what follows, and what pays for it
     * @param allowance the service's share of repeats at this daemon, after the verdict
     */
    record AttemptEnded(
            String attempt,
            Optional<RequestFingerprint> fingerprint,
            Optional<TargetEntry> target,
            AttemptEnd end,
            long afterMillis,
            long leftMillis,
            FailurePolicy.Decision verdict,
            RetryAllowance.State allowance) {}

    static void attemptEnded(AttemptEnded ended) {
        LOG.info(
                "event=attempt-ended request="
                        + ended.attempt()
                        + ended.fingerprint().map(known -> " fingerprint=" + known).orElse("")
                        + " target="
                        + ended.target().map(entry -> entry.incarnation().toString()).orElse("-")
                        + " end="
                        + ended.end()
                        + " after_ms="
                        + ended.afterMillis()
                        + " left_ms="
                        + ended.leftMillis()
                        + " next="
                        + ended.verdict().next()
                        + " repeat="
                        + ended.verdict().payment()
                        + " window_requests="
                        + ended.allowance().requests()
                        + " window_repeats="
                        + ended.allowance().retries()
                        + " credit_left="
                        + tenths(ended.allowance().credit())
                        + " slack_left="
                        + tenths(ended.allowance().slack()));
    }

    private static double tenths(double figure) {
        return Math.floor(figure * TENTHS) / TENTHS;
    }
}
