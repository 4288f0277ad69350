package org.tamaracktrack.daemon.gateway;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import java.util.Locale;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.route.Route;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Answers a request when nothing else does: when its deadline has passed, or when a step of its
 * processing has failed. The answer states whether the request may have run. Used on the traffic
 * thread.
 */
final class AnswerGuard {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.requests");
    private static final AttachmentKey<AnswerGuard> KEY = AttachmentKey.create(AnswerGuard.class);

    /** A timer that fires this late shows that the thread also reads its sockets late. */
    private static final long LATE_TIMER_MILLIS = 50;

    /** Longer than a thread that serves its callers is late. */
    private static final long REPORT_MARGIN_MILLIS = 1_000;

    private static final String UNKNOWN = "-";

    private final GatewayContext context;
    private final HttpServerExchange exchange;
    private String request = UNKNOWN;
    private String route = UNKNOWN;
    private Optional<RequestDeadline> deadline = Optional.empty();
    private long arrivedMillis;
    private long deadlineMillis;
    private boolean deadlineExtended;
    private XnioExecutor.Key timer = () -> false;
    private Stage stage = Stage.GATE;
    private boolean sent;
    private Owner owner = new NoOwner();

    /** What a request waits for. */
    enum Stage {
        QUOTA,
        ORIGIN,
        TRIAL,
        GATE,
        MODEL,
        HELD,
        TARGET
    }

    /** Ends a request as far as it can; what it does not answer the guard answers. */
    interface Owner {
        /** Called when the deadline has passed, whether or not the request has ended. */
        void onDeadline();

        /** Called when the process is about to end and the answer has not begun. */
        void onStop();

        /** Called when a step has failed, whether or not the request has ended. */
        void onStepFailed();
    }

    /** Leaves the answer to the guard. */
    private static final class NoOwner implements Owner {
        @Override
        public void onDeadline() {
            // Nothing was sent, and the guard answers.
        }

        @Override
        public void onStop() {
            // Nothing was sent, and the guard answers.
        }

        @Override
        public void onStepFailed() {
            // Nothing was sent, and the guard answers.
        }
    }

    private AnswerGuard(GatewayContext context, HttpServerExchange exchange) {
        this.context = context;
        this.exchange = exchange;
    }

    /** Returns the guard of an exchange. */
    static AnswerGuard of(GatewayContext context, HttpServerExchange exchange) {
        AnswerGuard known = exchange.getAttachment(KEY);
        if (known != null) {
            return known;
        }
        AnswerGuard created = new AnswerGuard(context, exchange);
        exchange.putAttachment(KEY, created);
        exchange.addExchangeCompleteListener(
                (ended, next) -> {
                    created.timer.remove();
                    next.proceed();
                });
        return created;
    }

    /** Guards a request whose route is not known yet. */
    void startUnrouted(long newArrivedMillis, long timeoutMillis) {
        start(newArrivedMillis, newArrivedMillis + timeoutMillis);
    }

    /** Guards a request whose body has been read. */
    void start(RequestMetadata metadata, Route newRoute, RequestDeadline newDeadline) {
        request = metadata.attempt();
        route = newRoute.name();
        deadline = Optional.of(newDeadline);
        stage = Stage.QUOTA;
        start(newDeadline.arrivedMillis(), newDeadline.deadlineMillis());
    }

    private void start(long newArrivedMillis, long newDeadlineMillis) {
        arrivedMillis = newArrivedMillis;
        deadlineMillis = newDeadlineMillis;
        timer.remove();
        timer = context.timer(deadlineMillis - context.nowMillis(), this::onTimer);
    }

    /** Returns the deadline of a request whose route is known. */
    RequestDeadline deadline() {
        return deadline.orElseThrow();
    }

    /** Sets what ends the request from now on. */
    void owner(Owner newOwner) {
        owner = newOwner;
    }

    /** Records what the request waits for from now on. */
    void enter(Stage next) {
        stage = next;
    }

    /** Records that bytes of the request may reach a target. */
    void recordSent() {
        sent = true;
    }

    /** Returns whether bytes of the request may have reached a target at any time. */
    boolean isSent() {
        return sent;
    }

    /** Returns a step of the request that ends it when the step fails. */
    Runnable guarded(Runnable step) {
        return () -> run(step);
    }

    /** As above, for a step that must not follow an answer. */
    Runnable guardedUnlessAnswered(Runnable step) {
        return () -> {
            if (!isAnswered()) {
                run(step);
            }
        };
    }

    /** Runs a step of the request and ends the request when the step fails. */
    void run(Runnable step) {
        context.departures().checkIfLate();
        try {
            step.run();
        } catch (RuntimeException | Error failure) {
            logFailure(failure);
            runSafely(owner::onStepFailed);
            answerIfUnanswered();
        }
    }

    /** Runs a step whose failure does not concern the caller. */
    void runSafely(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error failure) {
            logFailure(failure);
        }
    }

    private void logFailure(Throwable failure) {
        LOG.errorf(failure, "event=request-step-failed%s", description());
    }

    private String description() {
        return " request="
                + request
                + " route="
                + route
                + " stage="
                + stage.name().toLowerCase(Locale.ROOT)
                + " after_ms="
                + (context.nowMillis() - arrivedMillis);
    }

    private void onTimer() {
        if (!deadlineExtended && context.nowMillis() - deadlineMillis > LATE_TIMER_MILLIS) {
            deadlineExtended = true;
            timer = context.timer(LATE_TIMER_MILLIS, this::onTimer);
            return;
        }
        runSafely(owner::onDeadline);
        answerIfUnanswered();
        if (!exchange.isComplete()) {
            timer = context.timer(REPORT_MARGIN_MILLIS, this::reportIfUnanswered);
        }
    }

    /** Answers the request because the process is about to end, unless its answer has begun. */
    void endForStop() {
        if (isUnanswered()) {
            runSafely(owner::onStop);
            if (isUnanswered()) {
                exchange.setPersistent(false);
                answer(sent ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.LEAVING);
            }
        }
    }

    private void answerIfUnanswered() {
        if (isUnanswered()) {
            runSafely(this::reportIfUnanswered);
            answer(sent ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.NO_TARGET);
        }
    }

    private void answer(ErrorCode code) {
        try {
            Refusals.send(exchange, code);
        } catch (RuntimeException | Error failure) {
            logFailure(failure);
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    /** Returns whether the answer has begun, after which the request must not run any more. */
    boolean isAnswered() {
        return exchange.isResponseStarted() || exchange.isComplete();
    }

    private boolean isUnanswered() {
        return !isAnswered() && exchange.getConnection().isOpen();
    }

    private void reportIfUnanswered() {
        if (isUnanswered()) {
            LOG.errorf("event=request-unanswered%s", description());
            context.metrics().recordUnanswered(stage);
        }
    }
}
