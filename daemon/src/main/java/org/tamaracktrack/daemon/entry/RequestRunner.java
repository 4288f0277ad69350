package org.tamaracktrack.daemon.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.exchange.ExchangeAction;
import org.tamaracktrack.core.exchange.ExchangeEvent;
import org.tamaracktrack.core.exchange.ExchangeParameters;
import org.tamaracktrack.core.exchange.RequestExchange;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.core.report.RequestOutcome;
import org.tamaracktrack.daemon.runtime.ControlThread;

/**
 * Runs one request: applies events to its {@link RequestExchange} and carries out the resulting
 * actions. All state is accessed on the thread of the caller's connection only.
 */
final class RequestRunner implements CallerChannel.Listener {
    private static final Logger LOG = Logger.getLogger(RequestRunner.class);
    static final int CREDIT_BYTES = 256 * 1024;
    private static final int BUFFER_BYTES = 1024 * 1024;
    private static final long DEADLINE_GRACE_MILLIS = 250;
    private static final long OUTCOME_TIMEOUT_MILLIS = 5_000;

    private final RequestServices services;
    private final CallerRequest request;
    private final CallerChannel channel;
    private final RequestExchange exchange;
    private final RequestTimes times;
    private final long deadlineAtMillis;
    private Optional<TargetLink> link = Optional.empty();
    private OptionalLong claim = OptionalLong.empty();
    private final RequestOutcomeTracker outcomeTracker = RequestOutcomeTracker.empty();
    private boolean callerDisconnected;
    private boolean answerSent;
    private boolean channelCompleted;
    private int batchDepth;
    private boolean reported;

    private RequestRunner(
            RequestServices services,
            CallerRequest request,
            CallerChannel channel,
            AttemptId firstAttempt,
            long nowMillis) {
        this.services = services;
        this.request = request;
        this.channel = channel;
        this.deadlineAtMillis = nowMillis + request.requestClass().totalMillis();
        this.times = RequestTimes.arrivedAt(nowMillis);
        this.exchange =
                RequestExchange.of(
                        new ExchangeParameters(
                                firstAttempt,
                                request.idempotent(),
                                request.streaming(),
                                deadlineAtMillis,
                                CREDIT_BYTES,
                                BUFFER_BYTES,
                                firstAttempt.request()),
                        services.retryPolicy());
    }

    /** Starts a request. Must be called on the thread of the caller's connection. */
    static void start(RequestServices services, CallerRequest request, CallerChannel channel) {
        RequestRunner runner =
                new RequestRunner(
                        services,
                        request,
                        channel,
                        services.newFirstAttempt(),
                        ControlThread.nowMillis());
        runner.begin();
    }

    private void begin() {
        services.inProgress().add(this);
        services.metrics().count(request, RequestOutcome.OFFERED);
        channel.listen(this);
        // The target applies the same time limit, counted from when it received the request. The
        // grace period lets its definite outcome arrive before this daemon answers with an unknown
        // one.
        channel.executeAfter(
                request.requestClass().totalMillis() + DEADLINE_GRACE_MILLIS,
                () -> handle(new ExchangeEvent.DeadlinePassed()));
        if (request.idempotencyKey().isPresent()) {
            services.claimKey(request, this);
        } else {
            handle(new ExchangeEvent.Ready());
        }
    }

    /** Called when the idempotency key was claimed. Thread-safe. */
    void claimGranted(long claimNumber) {
        channel.execute(
                () -> {
                    claim = OptionalLong.of(claimNumber);
                    handle(new ExchangeEvent.Ready());
                });
    }

    /** Called when the claim of the idempotency key was refused. Thread-safe. */
    void claimDeclined(ErrorCode code, long retryAfterMillis) {
        postEvent(new ExchangeEvent.Declined(code, retryAfterMillis));
    }

    /** Called when a target was selected for an attempt. Thread-safe. */
    void targetChosen(AttemptId attempt, TargetLink chosenLink) {
        channel.execute(
                () -> {
                    // The caller may have left, or its time may have passed, while this thread was
                    // late or the request waited.
                    channel.detectDisconnect();
                    if (ControlThread.nowMillis() >= deadlineAtMillis) {
                        handle(new ExchangeEvent.DeadlinePassed());
                    }
                    link = Optional.of(chosenLink);
                    List<ExchangeAction> actions =
                            exchange.handle(
                                    new ExchangeEvent.TargetChosen(attempt, chosenLink.target()),
                                    ControlThread.nowMillis());
                    if (actions.stream().noneMatch(ExchangeAction.SendAttempt.class::isInstance)) {
                        services.recordEnded(chosenLink.target());
                    }
                    carryOut(actions);
                });
    }

    /** Called when no target is available for an attempt. Thread-safe. */
    void noTarget(AttemptId attempt, ErrorCode code, long retryAfterMillis) {
        postEvent(new ExchangeEvent.NoTarget(attempt, code, retryAfterMillis));
    }

    /** Called when the connection of an attempt closed. Thread-safe. */
    void connectionLost(AttemptId attempt) {
        postEvent(new ExchangeEvent.ConnectionLost(attempt));
    }

    /** Called when a message from a target arrived. Thread-safe. */
    void received(Message message) {
        channel.execute(
                () -> {
                    recordMessage(message);
                    handle(new ExchangeEvent.Received(message));
                });
    }

    /** Abandons the request because the daemon is stopping. Thread-safe. */
    void abandon() {
        postEvent(new ExchangeEvent.Abandoned());
    }

    private void recordMessage(Message message) {
        if (message instanceof Message.Chunk) {
            times.recordPart(ControlThread.nowMillis());
            if (callerDisconnected) {
                outcomeTracker.recordMissedPart();
            }
        } else if (message instanceof Message.Finished finished) {
            outcomeTracker.recordFinished(finished);
        }
    }

    @Override
    public void onWritten(int bytes) {
        outcomeTracker.recordWritten(bytes);
        handle(new ExchangeEvent.CallerRead(bytes));
    }

    @Override
    public void onDisconnected() {
        callerDisconnected = true;
        outcomeTracker.recordDisconnected();
        services.metrics().countEvent(EntryMetrics.Event.CALLER_GONE);
        handle(new ExchangeEvent.CallerDisconnected());
        if (!exchange.isEnded()) {
            scheduleAbandonment();
        }
    }

    @Override
    public void onCompleted() {
        channelCompleted = true;
        reportIfEnded();
    }

    private void postEvent(ExchangeEvent event) {
        channel.execute(() -> handle(event));
    }

    private void handle(ExchangeEvent event) {
        carryOut(exchange.handle(event, ControlThread.nowMillis()));
    }

    private void carryOut(List<ExchangeAction> actions) {
        batchDepth++;
        actions.forEach(this::carryOut);
        batchDepth--;
        reportIfEnded();
    }

    private void carryOut(ExchangeAction action) {
        if (action instanceof ExchangeAction.Route route) {
            route(route);
        } else if (action instanceof ExchangeAction.SendAttempt send) {
            send(send.attempt());
        } else if (action instanceof ExchangeAction.CancelAttempt cancel) {
            link.ifPresent(openLink -> openLink.send(new Message.Cancel(cancel.attempt())));
            scheduleAbandonment();
        } else if (action instanceof ExchangeAction.GrantCredit credit) {
            link.ifPresent(
                    openLink ->
                            openLink.send(new Message.Credit(credit.attempt(), credit.bytes())));
        } else if (action instanceof ExchangeAction.AttemptEnded ended) {
            releaseAttempt(ended.attempt());
        } else if (action instanceof ExchangeAction.Settle settle) {
            settle(settle.ran());
        } else if (action instanceof ExchangeAction.LateMessageDropped) {
            services.metrics().countEvent(EntryMetrics.Event.LATE_FRAME);
        } else if (action instanceof ExchangeAction.Breach breach) {
            reportBreach(breach);
        } else {
            sendToCaller(action);
        }
    }

    private void sendToCaller(ExchangeAction action) {
        answerSent =
                !(action instanceof ExchangeAction.AnswerHead
                        || action instanceof ExchangeAction.AnswerPart);
        if (action instanceof ExchangeAction.AnswerWhole whole) {
            outcomeTracker.recordForwarded(whole.body().length);
            channel.sendWhole(whole.status(), withTargetHeader(whole.headers()), whole.body());
        } else if (action instanceof ExchangeAction.AnswerHead head) {
            channel.sendHead(head.status(), withTargetHeader(head.headers()));
        } else if (action instanceof ExchangeAction.AnswerPart part) {
            outcomeTracker.recordForwarded(part.bytes().length);
            channel.sendPart(part.bytes());
        } else if (action instanceof ExchangeAction.AnswerEnd) {
            channel.sendEnd();
        } else if (action instanceof ExchangeAction.AnswerError failed) {
            outcomeTracker.recordError(failed);
            services.metrics().countError(failed.code());
            channel.sendError(
                    CallerError.of(failed.code(), failed.ran(), failed.retryAfterMillis()));
        } else {
            outcomeTracker.recordAborted();
            services.metrics().countEvent(EntryMetrics.Event.CALLER_CUT);
            channel.abort();
        }
    }

    private Map<String, String> withTargetHeader(Map<String, String> headers) {
        Map<String, String> allHeaders = new TreeMap<>(headers);
        link.ifPresent(openLink -> allHeaders.put("x-target", openLink.target().value()));
        return allHeaders;
    }

    private void route(ExchangeAction.Route route) {
        if (route.attempt().attempt() > 0) {
            services.metrics().countEvent(EntryMetrics.Event.RETRY);
        }
        Set<TargetId> tried = route.tried();
        if (route.delayMillis() == 0) {
            services.route(request.routingQuery(), tried, route.attempt(), this);
        } else {
            channel.executeAfter(
                    route.delayMillis(),
                    () -> services.route(request.routingQuery(), tried, route.attempt(), this));
        }
    }

    private void send(AttemptId attempt) {
        services.metrics().countEvent(EntryMetrics.Event.ATTEMPT);
        long now = ControlThread.nowMillis();
        times.recordSent(now);
        long remaining = Math.max(1, deadlineAtMillis - now);
        long waitLimit =
                Math.min(
                        remaining,
                        Math.max(
                                1,
                                request.requestClass().firstTokenMillis()
                                        + deadlineAtMillis
                                        - request.requestClass().totalMillis()
                                        - now));
        if (!link.orElseThrow().submit(submit(attempt, waitLimit, remaining), this)) {
            handle(new ExchangeEvent.NotSent(attempt, ErrorCode.TARGET_UNREACHABLE));
        }
    }

    private Message.Submit submit(AttemptId attempt, long waitLimitMillis, long deadlineMillis) {
        return new Message.Submit(
                attempt,
                request.account().id(),
                request.requestClass().id(),
                request.kind(),
                request.routingQuery().model(),
                request.routingQuery().adapter(),
                request.idempotent(),
                request.estimatedTokens(),
                waitLimitMillis,
                deadlineMillis,
                request.method(),
                request.path(),
                request.headers(),
                request.body(),
                request.streaming(),
                CREDIT_BYTES);
    }

    private void releaseAttempt(AttemptId attempt) {
        link.ifPresent(
                openLink -> {
                    openLink.removeAttempt(attempt);
                    services.recordEnded(openLink.target());
                });
    }

    private void scheduleAbandonment() {
        channel.executeAfter(OUTCOME_TIMEOUT_MILLIS, this::abandonUnlessAnswerPending);
    }

    private void abandonUnlessAnswerPending() {
        if (answerSent || callerDisconnected) {
            handle(new ExchangeEvent.Abandoned());
        }
    }

    private void settle(Ran ran) {
        claim.ifPresent(claimNumber -> services.settleClaim(claimNumber, ran));
    }

    private void reportBreach(ExchangeAction.Breach breach) {
        boolean invariant = breach.code() == ErrorCode.INVARIANT_BREACH;
        services.metrics()
                .countEvent(
                        invariant
                                ? EntryMetrics.Event.INVARIANT_BREACH
                                : EntryMetrics.Event.ANSWER_FAULT);
        LOG.errorf("event=answer-fault code=%s detail=%s", breach.code(), breach.detail());
    }

    // The channel can complete in the middle of a batch of actions, when the state of the exchange
    // is ahead of the actions carried out so far. A report at that point would count a request that
    // is still being settled as failed, so the report waits for the end of the batch.
    private void reportIfEnded() {
        if (!reported && batchDepth == 0 && channelCompleted && exchange.isEnded()) {
            reported = true;
            services.inProgress().remove(this);
            report();
        }
    }

    private void report() {
        EntryMetrics metrics = services.metrics();
        outcomeTracker
                .servedAnswer()
                .ifPresentOrElse(
                        this::reportServed,
                        () -> metrics.count(request, outcomeTracker.unservedOutcome()));
    }

    private void reportServed(Message.Finished finished) {
        EntryMetrics metrics = services.metrics();
        long now = ControlThread.nowMillis();
        boolean metObjectives = times.recordFinished(metrics, request, finished, now);
        metrics.count(request, metObjectives ? RequestOutcome.IN_CLASS : RequestOutcome.LATE);
        metrics.countTokens(request, finished.promptTokens(), finished.answerTokens());
        link.ifPresent(
                openLink ->
                        services.recordServed(openLink.target(), times.runMillis(now, finished)));
    }
}
