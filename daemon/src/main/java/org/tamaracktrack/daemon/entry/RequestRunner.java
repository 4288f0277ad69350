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
 * Runs one request: takes events to its state and carries out what that says. Everything happens on
 * the thread of the caller's connection.
 */
final class RequestRunner implements CallerChannel.Listener {
    private static final Logger LOG = Logger.getLogger(RequestRunner.class);
    static final int CREDIT_BYTES = 256 * 1024;
    private static final int BUFFER_BYTES = 1024 * 1024;
    private static final long DEADLINE_GRACE_MILLIS = 250;
    private static final long VERDICT_MILLIS = 5_000;

    private final RequestServices services;
    private final CallerRequest request;
    private final CallerChannel channel;
    private final RequestExchange exchange;
    private final RequestTimes times;
    private final long deadlineAtMillis;
    private Optional<TargetLink> link = Optional.empty();
    private OptionalLong claim = OptionalLong.empty();
    private final RequestRecord record = RequestRecord.empty();
    private boolean gone;
    private boolean answerSent;
    private boolean answered;
    private int batches;
    private boolean over;

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
        this.times = RequestTimes.arrived(nowMillis);
        this.exchange =
                RequestExchange.of(
                        new ExchangeParameters(
                                firstAttempt,
                                request.idempotent(),
                                request.stream(),
                                deadlineAtMillis,
                                CREDIT_BYTES,
                                BUFFER_BYTES,
                                firstAttempt.request()),
                        services.retryRule());
    }

    /** Starts a request; on the thread of the caller's connection. */
    static void start(RequestServices services, CallerRequest request, CallerChannel channel) {
        RequestRunner runner =
                new RequestRunner(
                        services,
                        request,
                        channel,
                        services.newRequest(),
                        ControlThread.nowMillis());
        runner.begin();
    }

    private void begin() {
        services.inProgress().add(this);
        services.metrics().count(request, RequestOutcome.OFFERED);
        channel.listen(this);
        // The target counts the same time from its own receipt; by this grace its definite word
        // arrives before this daemon gives the request up as unknown.
        channel.after(
                request.requestClass().totalMillis() + DEADLINE_GRACE_MILLIS,
                () -> handle(new ExchangeEvent.DeadlinePassed()));
        if (request.key().isPresent()) {
            services.claim(request, this);
        } else {
            handle(new ExchangeEvent.Ready());
        }
    }

    /** The key was claimed. For any thread. */
    void granted(long number) {
        channel.execute(
                () -> {
                    claim = OptionalLong.of(number);
                    handle(new ExchangeEvent.Ready());
                });
    }

    /** The key was refused. For any thread. */
    void declined(ErrorCode code, long retryAfterMillis) {
        post(new ExchangeEvent.Declined(code, retryAfterMillis));
    }

    /** A target was chosen. For any thread. */
    void chosen(AttemptId attempt, TargetLink chosen) {
        channel.execute(
                () -> {
                    link = Optional.of(chosen);
                    List<ExchangeAction> actions =
                            exchange.handle(
                                    new ExchangeEvent.TargetChosen(attempt, chosen.target()),
                                    ControlThread.nowMillis());
                    if (actions.stream().noneMatch(ExchangeAction.SendAttempt.class::isInstance)) {
                        services.ended(chosen.target());
                    }
                    carryOut(actions);
                });
    }

    /** There is no target. For any thread. */
    void noTarget(AttemptId attempt, ErrorCode code, long retryAfterMillis) {
        post(new ExchangeEvent.NoTarget(attempt, code, retryAfterMillis));
    }

    /** The connection of an attempt closed. For any thread. */
    void connectionLost(AttemptId attempt) {
        post(new ExchangeEvent.ConnectionLost(attempt));
    }

    /** A target answered. For any thread. */
    void received(Message message) {
        channel.execute(
                () -> {
                    note(message);
                    handle(new ExchangeEvent.Received(message));
                });
    }

    /** The daemon ends before the request does. For any thread. */
    void giveUp() {
        post(new ExchangeEvent.Abandoned());
    }

    private void note(Message message) {
        if (message instanceof Message.Chunk) {
            times.firstPart(ControlThread.nowMillis());
            if (gone) {
                record.missed();
            }
        } else if (message instanceof Message.Finished last) {
            record.finished(last);
        }
    }

    @Override
    public void onWritten(int bytes) {
        record.written(bytes);
        handle(new ExchangeEvent.CallerRead(bytes));
    }

    @Override
    public void onGone() {
        gone = true;
        record.gone();
        services.metrics().event(EntryMetrics.Event.CALLER_GONE);
        handle(new ExchangeEvent.CallerDisconnected());
        if (!exchange.isEnded()) {
            awaitVerdict();
        }
    }

    @Override
    public void onDone() {
        answered = true;
        endIfOver();
    }

    private void post(ExchangeEvent event) {
        channel.execute(() -> handle(event));
    }

    private void handle(ExchangeEvent event) {
        carryOut(exchange.handle(event, ControlThread.nowMillis()));
    }

    private void carryOut(List<ExchangeAction> actions) {
        batches++;
        actions.forEach(this::carryOut);
        batches--;
        endIfOver();
    }

    private void carryOut(ExchangeAction action) {
        if (action instanceof ExchangeAction.Route route) {
            route(route);
        } else if (action instanceof ExchangeAction.SendAttempt send) {
            send(send.attempt());
        } else if (action instanceof ExchangeAction.CancelAttempt cancel) {
            link.ifPresent(open -> open.send(new Message.Cancel(cancel.attempt())));
            awaitVerdict();
        } else if (action instanceof ExchangeAction.GrantCredit credit) {
            link.ifPresent(open -> open.send(new Message.Credit(credit.attempt(), credit.bytes())));
        } else if (action instanceof ExchangeAction.AttemptEnded attemptOver) {
            attemptOver(attemptOver.attempt());
        } else if (action instanceof ExchangeAction.Settle settle) {
            settle(settle.ran());
        } else if (action instanceof ExchangeAction.LateMessageDropped) {
            services.metrics().event(EntryMetrics.Event.LATE_FRAME);
        } else if (action instanceof ExchangeAction.Breach breach) {
            breach(breach);
        } else {
            answer(action);
        }
    }

    private void answer(ExchangeAction action) {
        answerSent =
                !(action instanceof ExchangeAction.AnswerHead
                        || action instanceof ExchangeAction.AnswerPart);
        if (action instanceof ExchangeAction.AnswerWhole whole) {
            record.passed(whole.body().length);
            channel.whole(whole.status(), withTarget(whole.headers()), whole.body());
        } else if (action instanceof ExchangeAction.AnswerHead head) {
            channel.head(head.status(), withTarget(head.headers()));
        } else if (action instanceof ExchangeAction.AnswerPart part) {
            record.passed(part.bytes().length);
            channel.part(part.bytes());
        } else if (action instanceof ExchangeAction.AnswerEnd) {
            channel.end();
        } else if (action instanceof ExchangeAction.AnswerError failed) {
            record.error(failed);
            services.metrics().error(failed.code());
            channel.error(CallerError.of(failed.code(), failed.ran(), failed.retryAfterMillis()));
        } else {
            record.cut();
            services.metrics().event(EntryMetrics.Event.CALLER_CUT);
            channel.cut();
        }
    }

    private Map<String, String> withTarget(Map<String, String> headers) {
        Map<String, String> all = new TreeMap<>(headers);
        link.ifPresent(open -> all.put("x-target", open.target().value()));
        return all;
    }

    private void route(ExchangeAction.Route route) {
        if (route.attempt().attempt() > 0) {
            services.metrics().event(EntryMetrics.Event.RETRY);
        }
        Set<TargetId> tried = route.tried();
        if (route.delayMillis() == 0) {
            services.route(request.query(), tried, route.attempt(), this);
        } else {
            channel.after(
                    route.delayMillis(),
                    () -> services.route(request.query(), tried, route.attempt(), this));
        }
    }

    private void send(AttemptId attempt) {
        services.metrics().event(EntryMetrics.Event.ATTEMPT);
        long now = ControlThread.nowMillis();
        times.sent(now);
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
                request.query().model(),
                request.query().adapter(),
                request.idempotent(),
                request.estimatedTokens(),
                waitLimitMillis,
                deadlineMillis,
                request.method(),
                request.path(),
                request.headers(),
                request.body(),
                request.stream(),
                CREDIT_BYTES);
    }

    private void attemptOver(AttemptId attempt) {
        link.ifPresent(
                open -> {
                    open.over(attempt);
                    services.ended(open.target());
                });
    }

    private void awaitVerdict() {
        channel.after(VERDICT_MILLIS, this::giveUpIfAnswerSent);
    }

    private void giveUpIfAnswerSent() {
        if (answerSent || gone) {
            handle(new ExchangeEvent.Abandoned());
        }
    }

    private void settle(Ran ran) {
        claim.ifPresent(number -> services.settle(number, ran));
    }

    private void breach(ExchangeAction.Breach breach) {
        boolean invariant = breach.code() == ErrorCode.INVARIANT_BREACH;
        services.metrics()
                .event(
                        invariant
                                ? EntryMetrics.Event.INVARIANT_BREACH
                                : EntryMetrics.Event.ANSWER_FAULT);
        LOG.errorf("event=answer-fault code=%s detail=%s", breach.code(), breach.detail());
    }

    // A channel may end in the middle of a batch of actions, and the state is ahead of what has
    // been carried out; reported then, a request that is being settled would count as failed.
    private void endIfOver() {
        if (!over && batches == 0 && answered && exchange.isEnded()) {
            over = true;
            services.inProgress().remove(this);
            report();
        }
    }

    private void report() {
        EntryMetrics metrics = services.metrics();
        record.served()
                .ifPresentOrElse(
                        this::reportServed, () -> metrics.count(request, record.otherwise()));
    }

    private void reportServed(Message.Finished finished) {
        EntryMetrics metrics = services.metrics();
        long now = ControlThread.nowMillis();
        boolean inClass = times.finished(metrics, request, finished, now);
        metrics.count(request, inClass ? RequestOutcome.IN_CLASS : RequestOutcome.LATE);
        metrics.tokens(request, finished.promptTokens(), finished.answerTokens());
        link.ifPresent(open -> services.served(open.target(), times.runMillis(now, finished)));
    }
}
