package org.tamaracktrack.daemon.gateway;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.account.Account;
import org.tamaracktrack.core.admission.HoldDecision;
import org.tamaracktrack.core.admission.RequestTerms;
import org.tamaracktrack.core.dispatch.AttemptEnd;
import org.tamaracktrack.core.dispatch.Delivery;
import org.tamaracktrack.core.dispatch.DispatchRequest;
import org.tamaracktrack.core.dispatch.FailurePolicy;
import org.tamaracktrack.core.dispatch.HedgePolicy;
import org.tamaracktrack.core.dispatch.RetryAllowance;
import org.tamaracktrack.core.dispatch.TargetSelector;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.quarantine.AnswerProgress;
import org.tamaracktrack.core.quarantine.Suspect;
import org.tamaracktrack.core.quota.QuotaMember;
import org.tamaracktrack.core.route.RequestAuthorization;
import org.tamaracktrack.core.route.Route;
import org.tamaracktrack.core.route.RouteKind;
import org.tamaracktrack.core.stream.OriginFinding;
import org.tamaracktrack.core.stream.StreamOrigin;
import org.tamaracktrack.daemon.connection.CallerConnection;
import org.xnio.XnioExecutor;

/**
 * Forwards one request of a caller, from its last byte to the end of the response. Used on the
 * traffic thread.
 */
final class ForwardedRequest
        implements HedgedAttempt.Owner, GatewayResponse.FlowListener, AnswerGuard.Owner {
    private static final int SUCCESS = 200;
    private static final int FIRST_NON_SUCCESS = 300;

    /** Callers state the tokens of a request, so a false figure must not make sums overflow. */
    private static final long MAX_COUNTED_TOKENS = 1_000_000;

    /**
     * A caller's first try is refused when its expected wait exceeds this fraction of its timeout.
     */
    private static final double NEW_CALLER_WAIT_RATIO = 0.7;

    /** Time for a refusal to reach its caller, also when this daemon or its link is busy. */
    private static final long REFUSAL_MARGIN_MILLIS = 200;

    private final GatewayContext context;
    private final HttpServerExchange exchange;
    private final CallerConnection connection;
    private final RequestAuthorization.Origin origin;
    private final RequestAuthorization authorization;
    private final Route route;
    private final RequestMetadata metadata;
    private final byte[] body;
    private final RequestDeadline deadline;
    private final AnswerGuard guard;
    private final long configurationVersion;
    private final Optional<QuotaMember.Permit> permit;
    private final GatewayResponse response;
    private final HeaderMap headers;
    private final PieceTimes pieces;
    private final RequestQuarantineState quarantineState;
    private final SilenceLog silenceLog;
    private final HoldProgress holdProgress;
    private final boolean callerReturned;
    private final List<TargetEntry> tried = new ArrayList<>();
    private final StreamProgress stream;
    private Optional<TargetAttempt> attempt = Optional.empty();
    private final List<HedgedAttempt> hedges = new ArrayList<>();
    private RetryProgress retryProgress;
    private Optional<XnioExecutor.Key> waitTimer = Optional.empty();
    private long retryAfterMillis;
    private Optional<TargetAttempt.TargetFailure> targetFailure = Optional.empty();
    private DispatchRequest dispatchRequest;
    private FailurePolicy.History history = FailurePolicy.History.none();
    private long registryAgeMillis = -1;
    private final long readDelayMillis;
    private long sentDelayMillis = -1;
    private Optional<Runnable> endOfUsage = Optional.empty();
    private Optional<RequestTerms> admissionTerms = Optional.empty();
    private boolean admitted;
    private boolean done;

    private ForwardedRequest(
            GatewayContext context,
            HttpServerExchange exchange,
            CallerConnection connection,
            AcceptedRequest accepted) {
        this.context = context;
        this.exchange = exchange;
        this.connection = connection;
        this.origin = accepted.origin();
        this.authorization = accepted.authorization();
        this.route = authorization.route().orElseThrow();
        this.metadata = accepted.metadata();
        this.body = accepted.body();
        this.guard = accepted.guard();
        this.deadline = guard.deadline();
        this.configurationVersion = accepted.configurationVersion();
        this.permit = accepted.permit();
        this.headers = exchange.getRequestHeaders();
        this.dispatchRequest =
                DispatchRequest.of(
                        accepted.service(),
                        metadata.need(),
                        metadata.promptTokens(),
                        metadata.parts());
        this.callerReturned =
                context.returningCallerDetector(route.name())
                        .observe(metadata.waitMillis().orElse(route.timeoutMillis()));
        this.pieces = PieceTimes.since(deadline.arrivedMillis());
        this.readDelayMillis = context.threadDelayMillis();
        this.quarantineState =
                RequestQuarantineState.of(context, exchange, body, metadata.sharedParts());
        this.retryProgress = RetryProgress.of(context, metadata.attempt());
        this.silenceLog = SilenceLog.of(context, metadata.attempt());
        this.holdProgress =
                HoldProgress.of(
                        context,
                        new HoldProgress.Subject(
                                metadata.attempt(),
                                route.name(),
                                authorization.account().map(Account::id),
                                priority()));
        this.response = GatewayResponse.of(exchange, context::leaving, this);
        this.stream = StreamProgress.of(route.kind(), response);
    }

    /**
     * A request whose body has been read.
     *
     * @param origin what identifies its route and client account
     * @param authorization its route and client account by the configuration on arrival
     * @param service the service that the route selected
     * @param metadata what its headers state
     * @param body its body
     * @param guard answers it when nothing else does
     * @param configurationVersion the version of the configuration that the route is from
     * @param permit what it has taken from the quota of its client account
     */
    record AcceptedRequest(
            RequestAuthorization.Origin origin,
            RequestAuthorization authorization,
            ServiceId service,
            RequestMetadata metadata,
            byte[] body,
            AnswerGuard guard,
            long configurationVersion,
            Optional<QuotaMember.Permit> permit) {}

    static ForwardedRequest start(
            GatewayContext context,
            HttpServerExchange exchange,
            CallerConnection connection,
            AcceptedRequest accepted) {
        ForwardedRequest request = new ForwardedRequest(context, exchange, connection, accepted);
        request.begin();
        return request;
    }

    private void begin() {
        guard.owner(this);
        connection.onClosed(this::onCallerGone);
        connection.detectDisconnect(exchange);
        context.departures().add(this);
        if (context.departures().isLate() && endIfCallerLeft()) {
            return;
        }
        context.recordRequest(service(), deadline.arrivedMillis());
        if (!callerReturned && quarantineState.holdingSuspect(service()).isEmpty()) {
            metadata.need().ifPresent(need -> context.demand().record(need, route));
        }
        SilentTargetMonitor.start(
                context,
                () -> attempt,
                () -> done,
                silent -> guard.runSafely(() -> onTargetSilent(silent)));
        if (takesUpStream()) {
            guard.enter(AnswerGuard.Stage.ORIGIN);
            context.findOrigin(
                    metadata.resumedAttempt(),
                    dispatchRequest.service(),
                    finding -> guard.run(() -> continueFrom(finding)));
        } else {
            dispatch();
        }
    }

    private boolean takesUpStream() {
        return route.kind() == RouteKind.STREAMING
                && (metadata.resumedAttempt().isPresent() || metadata.lastEventId().isPresent());
    }

    // The service of a route with several services is drawn anew for each attempt of a caller, so
    // the one that began the stream may be another.
    private void continueFrom(OriginFinding finding) {
        if (done) {
            return;
        }
        context.metrics().recordResumption(dispatchRequest.service(), finding.source());
        RequestLog.logResumption(
                metadata.attempt(), metadata.resumedAttempt(), dispatchRequest.service(), finding);
        Optional<StreamOrigin> usable =
                finding.origin().filter(origin -> route.allows(origin.service()));
        if (usable.isEmpty()) {
            refuseOrFail(ErrorCode.STREAM_VERSION_UNKNOWN, "version_unknown");
            return;
        }
        dispatchRequest = dispatchRequest.continuing(usable.get());
        dispatch();
    }

    Optional<ModelNeed> need() {
        return dispatchRequest.need();
    }

    private ServiceId service() {
        return dispatchRequest.service();
    }

    private void dispatch() {
        if (refuseIfNotAllowed()) {
            return;
        }
        if (tried.isEmpty() && quarantineState.mayTry(service())) {
            guard.enter(AnswerGuard.Stage.TRIAL);
            quarantineState.requestTrial(service(), guard.guarded(this::awaitGate));
        } else {
            awaitGate();
        }
    }

    // The quarantine is checked before each attempt: the target that has just ended may have been
    // the last one that this request was allowed.
    private void awaitGate() {
        if (!done && !refuseIfQuarantined()) {
            guard.enter(AnswerGuard.Stage.GATE);
            context.gate()
                    .whenOpen(
                            guard.guarded(this::selectAndSend),
                            guard.guarded(this::refuseAsOutdated));
        }
    }

    private void selectAndSend() {
        if (!done && !refuseIfNotAllowed()) {
            selectTarget().ifPresentOrElse(this::sendUnlessTooLate, this::onNoTarget);
        }
    }

    private void refuseAsOutdated() {
        if (!done) {
            refuseOrFail(ErrorCode.OUTDATED, "outdated");
        }
    }

    private Optional<TargetSelector.Selection> selectTarget() {
        return context.targetSelector()
                .select(
                        dispatchRequest,
                        context.view().fleet(),
                        context.loads()::of,
                        triedTargets(),
                        this::maximumRequests,
                        context.nowMillis(),
                        context::draw);
    }

    // A request that certainly did not run is better refused than sent to a target that may be
    // stopped: its caller would wait for the outcome, and the target would get it whenever it
    // continues.
    private int maximumRequests(TargetEntry entry) {
        return retryProgress.wasSent() && history.possibleExecutions() == 0
                ? context.maximumRequestsForRetry(entry)
                : context.maximumRequests(entry);
    }

    private List<TargetId> triedTargets() {
        return tried.stream()
                .map(entry -> entry.incarnation().target())
                .collect(Collectors.toList());
    }

    // A request whose first event would come after its caller has left only delays other requests.
    // Refused at once, the caller can retry while it still has time.
    private void sendUnlessTooLate(TargetSelector.Selection selection) {
        if (admitted || tried.isEmpty() && context.admission().isOn(selection.entry())) {
            admit(selection);
            return;
        }
        boolean firstAttempt = tried.isEmpty() && dispatchRequest.need().isPresent();
        if (firstAttempt
                && selection.firstPieceMillis()
                        > deadline.firstPieceTimeoutMillis() * waitRatio()) {
            retryAfterMillis = (long) selection.firstPieceMillis();
            refuseOrFail("overloaded");
            return;
        }
        send(selection.entry());
    }

    // A request that has been admitted is sent on after a failure: it is not held or refused for
    // its wait again.
    private void admit(TargetSelector.Selection selection) {
        if (admitted) {
            send(selection.entry());
            return;
        }
        RequestTerms terms = terms();
        holdProgress.expect(selection.firstPieceMillis());
        HoldDecision decision = context.admission().decide(this, terms, selection);
        if (done) {
            return;
        }
        holdProgress.late(decision.late());
        if (decision instanceof HoldDecision.Send) {
            admitted = true;
            context.admission().release(this);
            holdProgress.end("sent");
            send(selection.entry());
        } else if (decision instanceof HoldDecision.Refuse refuse) {
            long aheadMillis = context.admission().heldAheadMillis(terms, selection.entry());
            refuseByAdmission("overloaded", refuse.retryAfterMillis() + aheadMillis);
        } else if (context.admission().holds(this)) {
            guard.enter(AnswerGuard.Stage.HELD);
            holdProgress.hold();
        } else {
            refuseByAdmission("leaving", 0);
        }
    }

    private RequestTerms terms() {
        if (admissionTerms.isEmpty()) {
            RequestTerms terms =
                    new RequestTerms(
                            service(),
                            need().map(ModelNeed::toString).orElse(""),
                            authorization.account().map(Account::id),
                            priority(),
                            dispatchRequest.promptTokens(),
                            body.length,
                            route.objectiveMillis(),
                            deadline.arrivedMillis(),
                            context.nowMillis() + admissionTimeoutMillis(),
                            callerReturned);
            admissionTerms = Optional.of(terms);
            context.admission().recordArrival(terms);
        }
        return admissionTerms.get();
    }

    // The refusal of a request that has waited to its end must reach the caller before it leaves.
    private long admissionTimeoutMillis() {
        return Math.max(
                1,
                Math.min(
                        deadline.firstPieceTimeoutMillis(),
                        deadline.remainingMillis() - REFUSAL_MARGIN_MILLIS));
    }

    private int priority() {
        return accountPriority().orElse(route.priority());
    }

    /** Returns the rank among requests that wait for a model; 0 without admission control. */
    int releasePriority() {
        return context.admission().isOn(service()) ? priority() : 0;
    }

    /** Returns the order within a rank; 0 without admission control. */
    long releaseByMillis() {
        return context.admission().isOn(service())
                ? deadline.arrivedMillis() + route.objectiveMillis()
                : 0;
    }

    /** Decides again on the request while it is held. */
    void decideHeldAgain() {
        guard.run(
                () -> {
                    if (done || !context.admission().holds(this)) {
                        return;
                    }
                    if (context.gate().closeIfStale()) {
                        refuseHeldIfOutdated();
                    } else if (!refuseIfNotAllowed() && !refuseIfQuarantined()) {
                        selectTarget().ifPresentOrElse(this::admit, this::onNoTargetWhileHeld);
                    }
                });
    }

    private void refuseHeldIfOutdated() {
        if (context.gate().refusesRequests() || context.nowMillis() >= terms().leavesAtMillis()) {
            refuseAsOutdated();
        }
    }

    // The last target that holds the model has gone, so the request waits for the model.
    private void onNoTargetWhileHeld() {
        context.admission().remove(this);
        holdProgress.end("no_target");
        onNoTarget();
    }

    /** Refuses the request because more urgent ones use all room for held requests. */
    void refuseForLackOfRoom() {
        guard.run(
                () -> {
                    if (!done) {
                        refuseByAdmission("held_full", 0);
                    }
                });
    }

    private void refuseByAdmission(String reason, long roomMillis) {
        context.admission().remove(this);
        retryAfterMillis = context.admission().retryAfterMillis(roomMillis);
        holdProgress.refuse(reason, retryAfterMillis);
        refuseOrFail(reason);
    }

    // Callers that were refused before return with less time than the route allows. They take
    // precedence over callers that have not been refused yet.
    private double waitRatio() {
        return callerReturned ? 1 : NEW_CALLER_WAIT_RATIO;
    }

    // Counted once, however many targets the request is sent to.
    private void beginUsage() {
        if (endOfUsage.isEmpty()) {
            long tokens = metadata.totalTokens().orElse(metadata.promptTokens());
            endOfUsage =
                    authorization
                            .account()
                            .map(
                                    account ->
                                            context.beginUsage(
                                                    service(),
                                                    account.id(),
                                                    Math.min(
                                                            MAX_COUNTED_TOKENS,
                                                            Math.max(1, tokens))));
        }
    }

    private void send(TargetEntry entry) {
        if (isTooLateBeforeStop()) {
            refuseOrFail(ErrorCode.LEAVING, "leaving");
            return;
        }
        beginUsage();
        guard.enter(AnswerGuard.Stage.TARGET);
        TargetAttempt.OutgoingRequest outgoing = outgoingRequest(entry);
        TargetAttempt next = newAttempt(entry, this);
        attempt = Optional.of(next);
        next.send(outgoing);
    }

    // What is sent late in a planned stop would still run at its end.
    private boolean isTooLateBeforeStop() {
        return history.reachedTarget() || !hedges.isEmpty()
                ? context.stop().refusesRetries()
                : context.stop().refusesRequests();
    }

    private TargetAttempt newAttempt(TargetEntry entry, TargetAttempt.Listener listener) {
        tried.add(entry);
        if (response.hasBegun()) {
            context.metrics()
                    .recordContinuation(
                            dispatchRequest.service(), dispatchRequest.fitsVersionOf(entry));
        }
        return TargetAttempt.of(
                context,
                entry,
                dispatchRequest,
                metadata.attempt(),
                stream.expectedAnswer(),
                listener);
    }

    private TargetAttempt.OutgoingRequest outgoingRequest(TargetEntry entry) {
        long remainingMillis = deadline.remainingMillis();
        Map<String, String> targetHeaders =
                context.protocol()
                        .toTargetHeaders(
                                headers,
                                new HeaderProtocol.ForwardingContext(
                                        entry,
                                        remainingMillis,
                                        Urgency.of(route, accountPriority(), holdProgress.isLate()),
                                        lastEventId(),
                                        authorization.account().map(Account::id),
                                        context.keysRequired()));
        return new TargetAttempt.OutgoingRequest(
                exchange.getRequestMethod().toString(),
                CallerPath.of(exchange),
                targetHeaders,
                body,
                remainingMillis,
                route.repeatable());
    }

    private OptionalInt accountPriority() {
        return authorization.account().map(Account::priority).orElse(OptionalInt.empty());
    }

    private Optional<String> lastEventId() {
        return stream.events().lastId().or(metadata::lastEventId);
    }

    private OptionalLong shortestRestMillis() {
        return context.restingTargets()
                .shortestRemainingMillis(
                        TargetSelector.candidates(dispatchRequest, context.view().fleet()));
    }

    private boolean refuseIfAllTargetsRest() {
        OptionalLong restMillis = shortestRestMillis();
        if (restMillis.isPresent()) {
            retryAfterMillis = restMillis.getAsLong();
            refuseOrFail("targets_rest");
        }
        return restMillis.isPresent();
    }

    private void onNoTarget() {
        if (refuseIfAllTargetsRest()) {
            return;
        }
        long timeoutMillis =
                context.admission().isOn(service())
                        ? admissionTimeoutMillis()
                        : deadline.firstPieceTimeoutMillis();
        OptionalLong loadMillis =
                tried.isEmpty()
                        ? ExpectedLoadTime.estimateMillis(dispatchRequest, context.view())
                        : OptionalLong.empty();
        if (loadMillis.isEmpty() || loadMillis.getAsLong() > timeoutMillis || context.leaving()) {
            retryAfterMillis = loadMillis.orElse(0);
            refuseOrFail("no_target");
            return;
        }
        if (waitTimer.isEmpty()) {
            guard.enter(AnswerGuard.Stage.MODEL);
            context.waiting().add(this);
            waitTimer =
                    Optional.of(context.timer(timeoutMillis, guard.guarded(this::onWaitTimeout)));
        }
    }

    /** Selects a target again after the fleet has changed. */
    void retryWaiting() {
        guard.run(this::selectAgain);
    }

    private void selectAgain() {
        if (done
                || context.gate().closeIfStale()
                || refuseIfNotAllowed()
                || refuseIfQuarantined()) {
            return;
        }
        Optional<TargetSelector.Selection> selection = selectTarget();
        if (selection.isPresent()) {
            stopWaiting();
            sendUnlessTooLate(selection.get());
        } else {
            refuseIfAllTargetsRest();
        }
    }

    /** Refuses the request while it waits or is held, because this daemon is about to stop. */
    void refuseWaiting() {
        guard.run(
                () -> {
                    if (context.admission().holds(this)) {
                        refuseByAdmission("leaving", 0);
                    } else if (!done) {
                        refuseOrFail("leaving");
                    }
                });
    }

    private void stopWaiting() {
        context.waiting().remove(this);
        waitTimer.ifPresent(XnioExecutor.Key::remove);
        waitTimer = Optional.empty();
    }

    private void onWaitTimeout() {
        if (!done && attempt.isEmpty()) {
            refuseOrFail("model_not_held");
        }
    }

    // A silent target may go on at any moment. So the attempt ends only when another target has
    // answered, or when its target is known to have ended.
    private void onTargetSilent(TargetAttempt silentAttempt) {
        silentAttempt.recordSilence();
        if (!hedges.stream().allMatch(pending -> isSilent(pending.attempt()))) {
            return;
        }
        Optional<TargetEntry> other = selectForHedge();
        HedgePolicy.Decision decision =
                HedgePolicy.decide(
                        route,
                        history,
                        hedges.size(),
                        context.retryAllowance(service()),
                        other.isPresent(),
                        context.nowMillis());
        silenceLog.record(silentAttempt, decision, other, deadline.remainingMillis());
        if (decision == HedgePolicy.Decision.SEND) {
            sendHedge(other.orElseThrow());
        } else if (!context.isKnown(silentAttempt.entry().incarnation())
                && context.targetReachability().hasEnded(silentAttempt.entry())) {
            silentAttempt.abandon();
        }
    }

    private boolean isSilent(TargetAttempt pending) {
        boolean silent = SilentTargetMonitor.isSilent(pending, context.nowMillis());
        if (silent) {
            pending.recordSilence();
        }
        return silent;
    }

    private Optional<TargetEntry> selectForHedge() {
        if (!route.repeatable()
                || context.gate().isClosed()
                || context.stop().refusesRetries()
                || !isStillAllowed()
                || quarantineState.isTrial()) {
            return Optional.empty();
        }
        long nowMillis = context.nowMillis();
        return selectTarget()
                .filter(selection -> selection.firstPieceMillis() <= deadline.remainingMillis())
                .map(TargetSelector.Selection::entry)
                .filter(entry -> !context.loads().of(entry.incarnation()).isSilent(nowMillis));
    }

    private void sendHedge(TargetEntry entry) {
        TargetAttempt.OutgoingRequest outgoing = outgoingRequest(entry);
        HedgedAttempt next = HedgedAttempt.of(this, context, retryProgress.ofFurtherSend());
        TargetAttempt hedgedAttempt = newAttempt(entry, next);
        hedges.add(next);
        next.send(hedgedAttempt, outgoing);
    }

    @Override
    public void onContact() {
        dropHedges("target_resumed");
    }

    private void dropHedges(String outcome) {
        List.copyOf(hedges).forEach(pending -> dropHedge(pending, outcome));
    }

    private void dropHedge(HedgedAttempt pending, String outcome) {
        hedges.remove(pending);
        if (pending.attempt().mayHaveBeenSent()) {
            history = history.after(AttemptEnd.LOST);
        } else {
            tried.remove(pending.attempt().entry());
        }
        pending.cancel();
        silenceLog.recordHedgeEnd(pending.attempt(), outcome);
    }

    @Override
    public void onHedgeAnswered(HedgedAttempt answered) {
        attempt.ifPresent(silent -> leave(silent, answered.attempt()));
        continueWith(answered);
        dropHedges("another_answered");
    }

    private void leave(TargetAttempt silent, TargetAttempt answered) {
        history = history.after(AttemptEnd.LOST);
        retryProgress.recordEnd();
        stream.events().discardPartialEvent();
        silent.leave();
        silenceLog.recordLeft(silent, answered);
    }

    private void continueWith(HedgedAttempt next) {
        hedges.remove(next);
        attempt = Optional.of(next.attempt());
        retryProgress = next.progress();
        next.takeOver();
    }

    @Override
    public void onHedgeFailed(
            HedgedAttempt failed, AttemptEnd end, Optional<TargetAttempt.TargetFailure> failure) {
        if (!hedges.remove(failed)) {
            return;
        }
        history = history.after(end);
        targetFailure = failure.or(() -> targetFailure);
        if (end == AttemptEnd.WITHHELD) {
            tried.remove(failed.attempt().entry());
        }
        silenceLog.recordHedgeEnd(failed.attempt(), end.name());
    }

    private boolean mayHaveBeenSent() {
        return Stream.concat(attempt.stream(), hedges.stream().map(HedgedAttempt::attempt))
                        .anyMatch(TargetAttempt::mayHaveBeenSent)
                || history.possibleExecutions() > 0;
    }

    @Override
    public void onDeadline() {
        endUnfinished(
                mayHaveBeenSent(),
                ErrorCode.NO_TARGET,
                ErrorCode.DEADLINE_WHILE_RUNNING,
                "timeout");
    }

    @Override
    public void onStop() {
        guard.run(
                () -> {
                    if (!response.hasBegun()) {
                        endUnfinished(
                                mayHaveBeenSent(),
                                ErrorCode.LEAVING,
                                ErrorCode.OUTCOME_UNKNOWN,
                                "leaving");
                    }
                });
    }

    // The step may have failed before it recorded how an attempt ended.
    @Override
    public void onStepFailed() {
        endUnfinished(
                guard.isSent(), ErrorCode.NO_TARGET, ErrorCode.OUTCOME_UNKNOWN, "step_failed");
    }

    private void endUnfinished(
            boolean sent, ErrorCode codeWhenNotSent, ErrorCode codeWhenSent, String reason) {
        if (done) {
            return;
        }
        attempt.ifPresent(TargetAttempt::cancel);
        if (response.hasBegun()) {
            finish("cut_at_" + reason, SUCCESS);
            response.abort();
        } else if (sent) {
            respondWithUnknownOutcome(codeWhenSent, reason);
        } else {
            respondWithFailure(codeWhenNotSent, reason + "_before_start");
        }
    }

    private void onCallerGone() {
        if (!done) {
            if (!mayHaveBeenSent()) {
                permit.ifPresent(context::giveBackQuota);
            }
            attempt.ifPresent(TargetAttempt::cancel);
            // Recorded later, since the runs of other callers that have left are to be ended first.
            end("caller_gone");
            context.execute(() -> guard.runSafely(() -> record("caller_gone", 0)));
        }
    }

    @Override
    public void onStreamBegin(int status, Map<String, String> responseHeaders) {
        if (!done) {
            stream.recordHead(status, responseHeaders);
        }
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        if (done) {
            return;
        }
        context.departures().checkIfLate();
        if (done) {
            return;
        }
        byte[] wholeEvents = stream.split(bytes);
        if (stream.events().exceedsPendingLimit()) {
            attempt.ifPresent(TargetAttempt::cancel);
            onAttemptEnded(AttemptEnd.CUT, Optional.empty());
            return;
        }
        if (wholeEvents.length > 0) {
            pieces.recordPiece(context.nowMillis());
            attempt.ifPresent(TargetAttempt::recordPiece);
            beginStream();
            response.write(ByteBuffer.wrap(wholeEvents));
        }
    }

    private void beginStream() {
        if (!response.hasBegun()) {
            attempt.map(TargetAttempt::entry).ifPresent(this::continueOnlyAt);
            stream.begin();
        }
    }

    private void continueOnlyAt(TargetEntry begun) {
        StreamOrigin origin = new StreamOrigin(begun.service(), begun.version());
        dispatchRequest = dispatchRequest.continuing(origin);
        if (route.repeatable()) {
            context.recordBegun(metadata.resumedAttempt().orElse(metadata.attempt()), origin);
        }
    }

    @Override
    public void onStreamEnd() {
        guard.run(this::endStream);
    }

    private void endStream() {
        if (done) {
            return;
        }
        if (stream.events().hasPartialEvent()) {
            attempt.filter(TargetAttempt::endsWithConnection)
                    .ifPresent(cut -> onConnectionBroken(cut, true));
            onAttemptEnded(AttemptEnd.CUT, Optional.empty());
            return;
        }
        beginStream();
        attempt.ifPresent(this::recordAnswer);
        finish("served", stream.status());
        response.end();
    }

    @Override
    public void onCompleteResponse(
            int status, Map<String, String> responseHeaders, byte[] responseBody) {
        guard.run(() -> complete(status, responseHeaders, responseBody));
    }

    private void complete(int status, Map<String, String> responseHeaders, byte[] responseBody) {
        if (done) {
            return;
        }
        pieces.recordPiece(context.nowMillis());
        attempt.ifPresent(this::recordAnswer);
        finish(status < FIRST_NON_SUCCESS ? "served" : "target_status", status);
        response.sendWhole(status, responseHeaders, responseBody);
    }

    // An answer that ends with its connection may have been cut by the end of its target.
    private void recordAnswer(TargetAttempt answered) {
        if (!answered.endsWithConnection() || answered.progress() == AnswerProgress.ESTABLISHED) {
            quarantineState.recordAnswer();
            onEstablished();
        }
    }

    // A target may reject a request without reading its prompt.
    @Override
    public void onEstablished() {
        attempt.filter(TargetAttempt::isSuccess)
                .ifPresent(established -> quarantineState.recordEstablished(service()));
    }

    /** Ends the request if its caller has closed the connection; returns whether it has ended. */
    boolean endIfCallerLeft() {
        if (!done && connection.isClosedNow()) {
            onCallerGone();
        }
        return done;
    }

    // The caller may leave, and its time may pass, while the request waits or this daemon is late.
    private boolean isAwaited() {
        return !endIfCallerLeft() && deadline.untilDeadlineMillis() > 0;
    }

    @Override
    public boolean isStillAllowed() {
        return isAwaited()
                && refusalNow().isEmpty()
                && quarantineState.holdingSuspect(service()).isEmpty();
    }

    @Override
    public Optional<Delivery> tryBeginSending() {
        return attempt.filter(next -> !isTooLateBeforeStop())
                .map(TargetAttempt::entry)
                .flatMap(retryProgress::tryBeginSending);
    }

    @Override
    public void onSending() {
        guard.recordSent();
        quarantineState.recordSent(metadata.attempt());
        registryAgeMillis = context.registryAgeMillis();
        sentDelayMillis = context.threadDelayMillis();
    }

    @Override
    public void onAnswering() {
        retryProgress.recordAnswer();
    }

    @Override
    public void onConnectionBroken(TargetAttempt broken, boolean ran) {
        quarantineState.recordBrokenConnection(broken.entry(), ran, broken.progress());
    }

    @Override
    public void onFailed(AttemptEnd end, Optional<TargetAttempt.TargetFailure> failure) {
        guard.run(() -> onAttemptEnded(end, failure));
    }

    private void onAttemptEnded(AttemptEnd end, Optional<TargetAttempt.TargetFailure> failure) {
        if (done) {
            return;
        }
        long nowMillis = context.nowMillis();
        Optional<TargetEntry> target = attempt.map(TargetAttempt::entry);
        AnswerProgress progress = attempt.map(TargetAttempt::progress).orElse(AnswerProgress.NONE);
        attempt = Optional.empty();
        quarantineState.recordAttemptEnd();
        retryProgress.recordEnd();
        stream.events().discardPartialEvent();
        history = history.after(end).withAnswerStarted(response.hasBegun());
        targetFailure = failure.or(() -> targetFailure);
        if (end == AttemptEnd.WITHHELD) {
            target.ifPresent(tried::remove);
        }
        RetryAllowance allowance = context.retryAllowance(service());
        FailurePolicy.Decision decision = decide(end, progress, allowance, nowMillis);
        RetryAllowance.State allowanceState = allowance.state(nowMillis);
        context.metrics()
                .recordRetryDecision(
                        dispatchRequest.service(), decision.payment(), allowanceState.remaining());
        RequestLog.logFailedAttempt(
                new RequestLog.FailedAttempt(
                        metadata.attempt(),
                        quarantineState.fingerprint(),
                        target,
                        end,
                        progress,
                        metadata.sharedParts(),
                        deadline.elapsedMillis(),
                        deadline.remainingMillis(),
                        decision,
                        allowanceState));
        apply(decision.next(), end, failure);
    }

    private FailurePolicy.Decision decide(
            AttemptEnd end, AnswerProgress progress, RetryAllowance allowance, long nowMillis) {
        if (!hedges.isEmpty()) {
            return FailurePolicy.hedged();
        }
        return mayHaveEndedTarget(end, progress)
                ? FailurePolicy.giveUp(end, history)
                : FailurePolicy.decide(
                        route, end, history, deadline.remainingMillis(), allowance, nowMillis);
    }

    // A target that ends because of a request does so when it begins to answer. Such a request is
    // not sent to the next target as well, unless other answers show that its prompt is harmless.
    // Where the head of the answer may be lost, an earlier end under the same part shows it.
    private boolean mayHaveEndedTarget(AttemptEnd end, AnswerProgress progress) {
        return switch (progress) {
            case STARTED -> end == AttemptEnd.CUT && quarantineState.hasUnprovenPart(service());
            case NONE, WRITING ->
                    (end == AttemptEnd.CUT || end == AttemptEnd.LOST)
                            && quarantineState.hasSuspectedPart(service());
            case ESTABLISHED -> false;
        };
    }

    private void apply(
            FailurePolicy.Next next,
            AttemptEnd end,
            Optional<TargetAttempt.TargetFailure> failure) {
        switch (next) {
            case AGAIN -> retry();
            case HEDGED -> continueWith(hedges.get(0));
            case PASS_ON -> forwardFailure(failure.orElseThrow());
            case REFUSE -> passOnRefusal();
            case UNKNOWN -> respondWithUnknownOutcome(ErrorCode.OUTCOME_UNKNOWN, end.name());
            case BREAK -> abortStream();
            default -> throw new AssertionError(next);
        }
    }

    private void passOnRefusal() {
        retryAfterMillis = shortestRestMillis().orElse(0);
        respondWithFailure(ErrorCode.NO_TARGET, "refused_by_target");
    }

    private void retry() {
        retryProgress.recordDecision();
        dispatch();
    }

    // The failure that a target has answered tells the caller more than an unknown outcome.
    private void respondWithUnknownOutcome(ErrorCode code, String reason) {
        targetFailure.ifPresentOrElse(this::forwardFailure, () -> respondWithFailure(code, reason));
    }

    private void forwardFailure(TargetAttempt.TargetFailure failure) {
        finish("target_failed", failure.status());
        response.sendWhole(failure.status(), failure.headers(), failure.body());
    }

    private void abortStream() {
        finish("broken_off", SUCCESS);
        response.abort();
    }

    private void refuseOrFail(String reason) {
        refuseOrFail(ErrorCode.NO_TARGET, reason);
    }

    private void refuseOrFail(ErrorCode refusal, String reason) {
        if (response.hasBegun()) {
            abortStream();
        } else if (history.possibleExecutions() > 0) {
            respondWithUnknownOutcome(ErrorCode.OUTCOME_UNKNOWN, reason);
        } else {
            respondWithFailure(refusal, reason);
        }
    }

    // A key can be removed, and a route moved, while the request waits.
    private Optional<ErrorCode> refusalNow() {
        return context.isInForce(configurationVersion)
                ? Optional.empty()
                : context.authorize(origin).refusalAfter(authorization, dispatchRequest.service());
    }

    private boolean refuseIfNotAllowed() {
        Optional<ErrorCode> refusal = refusalNow();
        refusal.ifPresent(code -> refuseOrFail(code, "no_longer_allowed"));
        return refusal.isPresent();
    }

    private boolean refuseIfQuarantined() {
        Optional<Suspect> holding = quarantineState.holdingSuspect(service());
        holding.ifPresent(
                suspect -> {
                    context.metrics().recordQuarantined(suspect);
                    quarantineState.logRefusal(metadata.attempt(), suspect);
                    refuseOrFail(ErrorCode.QUARANTINED, "quarantined");
                });
        return holding.isPresent();
    }

    private void respondWithFailure(ErrorCode code, String reason) {
        finish(reason, code.status());
        if (code.ran() == Ran.NO) {
            permit.ifPresent(context::giveBackQuota);
        }
        FailureResponse failure =
                FailureResponse.of(
                        code, retryAfterMillis, deadline.remainingMillis(), context.draw());
        response.sendWhole(code.status(), failure.headers(), failure.body());
    }

    private void finish(String outcome, int status) {
        end(outcome);
        guard.runSafely(() -> record(outcome, status));
    }

    private void end(String outcome) {
        done = true;
        quarantineState.end();
        dropHedges(outcome);
        attempt = Optional.empty();
        retryProgress.recordEnd();
        stopWaiting();
        endOfUsage.ifPresent(Runnable::run);
        context.admission().remove(this);
        guard.runSafely(() -> holdProgress.end(outcome));
        connection.onClosed(() -> {});
        context.departures().remove(this);
    }

    // A request that can't be recorded is answered all the same.
    private void record(String outcome, int status) {
        context.metrics().recordRequestEnd(route.name(), outcome, pieces.firstMillis());
        RequestLog.logEnd(
                new RequestLog.RequestEnd(
                        metadata.attempt(),
                        authorization.account().map(Account::id),
                        route.name(),
                        dispatchRequest,
                        outcome,
                        status,
                        triedTargets(),
                        tried.stream().map(TargetEntry::version).collect(Collectors.toList()),
                        metadata.lastEventId()
                                .map(
                                        eventId ->
                                                new RequestLog.Resumption(
                                                        metadata.resumedAttempt(), eventId)),
                        history.refusals(),
                        pieces.firstMillis(),
                        pieces.longestGapMillis(),
                        deadline.elapsedMillis(),
                        stream.events().eventCount(),
                        configurationVersion,
                        registryAgeMillis,
                        new RequestLog.ThreadDelays(
                                readDelayMillis, sentDelayMillis, context.threadDelayMillis())));
    }

    @Override
    public void onBackPressure() {
        attempt.ifPresent(TargetAttempt::pause);
    }

    @Override
    public void onWritable() {
        attempt.ifPresent(TargetAttempt::resume);
    }

    @Override
    public void onCallerDisconnected() {
        onCallerGone();
    }
}
