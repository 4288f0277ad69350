package org.tamaracktrack.daemon.gateway;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.dispatch.AttemptEnd;
import org.tamaracktrack.core.dispatch.DispatchRequest;
import org.tamaracktrack.core.dispatch.FailurePolicy;
import org.tamaracktrack.core.dispatch.PromptPart;
import org.tamaracktrack.core.dispatch.RetryAllowance;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.SoftwareVersion;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.quarantine.AnswerProgress;
import org.tamaracktrack.core.quarantine.Hold;
import org.tamaracktrack.core.quarantine.RequestFingerprint;
import org.tamaracktrack.core.quarantine.Suspect;
import org.tamaracktrack.core.stream.OriginFinding;
import org.tamaracktrack.core.stream.StreamOrigin;

/** Logs the ends of requests and of failed attempts. */
final class RequestLog {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.requests");

    /** Numbers are logged with one decimal place. */
    private static final double TENTHS = 10;

    private static final int MAX_LOGGED_PARTS = 8;

    private RequestLog() {}

    /**
     * The end of a request.
     *
     * @param attempt the attempt id that the caller gave the request
     * @param account the client account of its key; empty without one
     * @param route its route
     * @param dispatchRequest its service and model
     * @param outcome how it ended
     * @param status the status that the caller got; 0 for none
     * @param triedTargets the targets that it was sent to
     * @param versions the software versions of these targets
     * @param resumption the stream that the caller takes up again; empty for a new one
     * @param refusals the number of targets that refused it as not run
     * @param firstMillis the time to the first piece of the response; -1 for none
     * @param longestGapMillis the longest pause between two pieces
     * @param totalMillis the time to its end
     * @param events the number of events forwarded
     * @param configuration the version of the configuration that its route is from
     * @param registryAgeMillis the age of the registry's information when the request was last sent
     *     to a target; -1 when it never was
     * @param threadDelays how late the traffic thread was meanwhile
     */
    record RequestEnd(
            String attempt,
            Optional<ClientAccountId> account,
            String route,
            DispatchRequest dispatchRequest,
            String outcome,
            int status,
            List<TargetId> triedTargets,
            List<SoftwareVersion> versions,
            Optional<Resumption> resumption,
            int refusals,
            long firstMillis,
            long longestGapMillis,
            long totalMillis,
            int events,
            long configuration,
            long registryAgeMillis,
            ThreadDelays threadDelays) {}

    /**
     * How late the traffic thread was at steps of a request, in milliseconds. A request, or the end
     * of its caller's connection, may have waited unread for as long.
     *
     * @param readMillis when the request had been read
     * @param sentMillis when it was last sent to a target; -1 if it never was
     * @param endMillis at its end
     */
    record ThreadDelays(long readMillis, long sentMillis, long endMillis) {
        @Override
        public String toString() {
            return " read_delay_ms="
                    + readMillis
                    + " sent_delay_ms="
                    + sentMillis
                    + " end_delay_ms="
                    + endMillis;
        }
    }

    /**
     * The end of the hold of a request, or its refusal by admission control.
     *
     * @param attempt the attempt id that the caller gave the request
     * @param route its route
     * @param account the client account of its key; empty without one
     * @param priority its priority
     * @param heldMillis how long it was held
     * @param expectedMillis the expected time to the first piece at the last decision
     * @param outcome sent, or why it was not
     * @param late whether it could no longer be in time
     * @param retryAfterMillis when the caller should return; -1 when it was not refused
     */
    record AdmissionEnd(
            String attempt,
            String route,
            Optional<ClientAccountId> account,
            int priority,
            long heldMillis,
            long expectedMillis,
            String outcome,
            boolean late,
            long retryAfterMillis) {}

    static void logAdmissionEnd(AdmissionEnd end) {
        LOG.info(
                "event=admission request="
                        + end.attempt()
                        + " route="
                        + end.route()
                        + " account="
                        + end.account().map(ClientAccountId::value).orElse("-")
                        + " priority="
                        + end.priority()
                        + " held_ms="
                        + end.heldMillis()
                        + " expected_ms="
                        + end.expectedMillis()
                        + " outcome="
                        + end.outcome()
                        + " late="
                        + end.late()
                        + " retry_after_ms="
                        + end.retryAfterMillis());
    }

    /**
     * What a caller states about the stream that it takes up again.
     *
     * @param attempt the attempt that brought its first event; empty when the caller names none
     * @param lastEventId the last event that the caller has received
     */
    record Resumption(Optional<String> attempt, String lastEventId) {
        @Override
        public String toString() {
            return " resumes=" + attempt.orElse("-") + " after_event=" + lastEventId;
        }
    }

    static void logEnd(RequestEnd request) {
        LOG.info(
                "event=request request="
                        + request.attempt()
                        + request.account().map(account -> " account=" + account).orElse("")
                        + " route="
                        + request.route()
                        + " service="
                        + request.dispatchRequest().service()
                        + request.dispatchRequest().need().map(need -> " model=" + need).orElse("")
                        + " outcome="
                        + request.outcome()
                        + " status="
                        + request.status()
                        + " targets="
                        + request.triedTargets()
                        + " versions="
                        + request.versions()
                        + request.resumption().map(Resumption::toString).orElse("")
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
                        + request.registryAgeMillis()
                        + request.threadDelays());
    }

    /** Logs how the origin of a stream is known that a caller takes up. */
    static void logResumption(
            String attempt,
            Optional<String> resumedAttempt,
            ServiceId service,
            OriginFinding finding) {
        LOG.info(
                "event=stream-resumed request="
                        + attempt
                        + " resumes="
                        + resumedAttempt.orElse("-")
                        + " service="
                        + finding.origin().map(StreamOrigin::service).orElse(service)
                        + " version="
                        + finding.origin().map(origin -> origin.version().toString()).orElse("-")
                        + " known="
                        + finding.source()
                        + " known_for_ms="
                        + finding.ageMillis()
                        + " searched_ms="
                        + finding.searchedMillis());
    }

    /**
     * A failed attempt at a target, and the decision that followed.
     *
     * @param attempt the attempt id that the caller gave the request
     * @param fingerprint the fingerprint of the request; empty when it was not computed
     * @param target the target
     * @param end how the attempt ended
     * @param progress how far the answer had come
     * @param parts the parts of its prompt that other requests may share
     * @param elapsedMillis the time since the request arrived
     * @param remainingMillis the time until its deadline
     * @param decision what follows, and from which budget a retry is paid
     * @param allowance the retry allowance of the service at this daemon, after the decision
     */
    record FailedAttempt(
            String attempt,
            Optional<RequestFingerprint> fingerprint,
            Optional<TargetEntry> target,
            AttemptEnd end,
            AnswerProgress progress,
            List<PromptPart> parts,
            long elapsedMillis,
            long remainingMillis,
            FailurePolicy.Decision decision,
            RetryAllowance.State allowance) {}

    static void logFailedAttempt(FailedAttempt ended) {
        LOG.info(
                "event=attempt-ended request="
                        + ended.attempt()
                        + ended.fingerprint().map(known -> " fingerprint=" + known).orElse("")
                        + " target="
                        + ended.target().map(entry -> entry.incarnation().toString()).orElse("-")
                        + " version="
                        + ended.target().map(entry -> entry.version().toString()).orElse("-")
                        + " end="
                        + ended.end()
                        + " answer="
                        + ended.progress()
                        + " parts="
                        + ended.parts().stream()
                                .limit(MAX_LOGGED_PARTS)
                                .map(PromptPart::contentId)
                                .collect(Collectors.joining(","))
                        + " after_ms="
                        + ended.elapsedMillis()
                        + " left_ms="
                        + ended.remainingMillis()
                        + " next="
                        + ended.decision().next()
                        + " repeat="
                        + ended.decision().payment()
                        + " window_requests="
                        + ended.allowance().requests()
                        + " window_repeats="
                        + ended.allowance().retries()
                        + " unread_repeats="
                        + ended.allowance().unread()
                        + " credit_left="
                        + roundDownToTenths(ended.allowance().credit())
                        + " slack_left="
                        + roundDownToTenths(ended.allowance().slack()));
    }

    /**
     * Logs that a request is refused because of a suspect.
     *
     * @param attempt the attempt id that the caller gave the request
     * @param suspect the request or the part of its prompt
     * @param part the part's id; empty when the request itself is the suspect
     * @param hold why the suspect is held; empty when it was released just now
     * @param dayMillis the time of day in milliseconds
     */
    static void logQuarantined(
            String attempt,
            Suspect suspect,
            Optional<String> part,
            Optional<Hold> hold,
            long dayMillis) {
        logHeldSuspect("request-held", attempt, suspect, part, hold, dayMillis);
    }

    /** As above, for a request that is sent to find out whether the suspect is harmless. */
    static void logTrial(
            String attempt,
            Suspect suspect,
            Optional<String> part,
            Optional<Hold> hold,
            long dayMillis) {
        logHeldSuspect("suspect-tried", attempt, suspect, part, hold, dayMillis);
    }

    private static void logHeldSuspect(
            String event,
            String attempt,
            Suspect suspect,
            Optional<String> part,
            Optional<Hold> hold,
            long dayMillis) {
        LOG.info(
                "event="
                        + event
                        + " request="
                        + attempt
                        + " fingerprint="
                        + suspect
                        + part.map(id -> " part=" + id).orElse("")
                        + hold.map(known -> describe(known, dayMillis)).orElse(""));
    }

    private static String describe(Hold hold, long dayMillis) {
        return " targets_ended="
                + hold.ends()
                + " running="
                + hold.runningEnds()
                + " last_end_ms_ago="
                + (dayMillis - hold.lastEndMillis())
                + " explained_by="
                + hold.explainedBy().size()
                + " trial="
                + hold.trial();
    }

    private static double roundDownToTenths(double figure) {
        return Math.floor(figure * TENTHS) / TENTHS;
    }
}
