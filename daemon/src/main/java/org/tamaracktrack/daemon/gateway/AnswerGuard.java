package org.tamaracktrack.daemon.gateway;

import io.undertow.server.HttpServerExchange;
import java.util.Locale;
import org.jboss.logging.Logger;
import org.xnio.XnioExecutor;

/**
 * Reports a request that was read and that is neither answered nor closed some time after its
 * deadline. Used on the traffic thread.
 */
final class AnswerGuard {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.requests");

    /** Longer than a thread that serves its callers is late. */
    private static final long REPORT_MARGIN_MILLIS = 1_000;

    private final GatewayContext context;
    private final HttpServerExchange exchange;
    private final RequestMetadata metadata;
    private final String route;
    private final RequestDeadline deadline;
    private Stage stage = Stage.QUOTA;

    /** What a request waits for. */
    enum Stage {
        QUOTA,
        ORIGIN,
        GATE,
        MODEL,
        TARGET
    }

    private AnswerGuard(
            GatewayContext context,
            HttpServerExchange exchange,
            RequestMetadata metadata,
            String route,
            RequestDeadline deadline) {
        this.context = context;
        this.exchange = exchange;
        this.metadata = metadata;
        this.route = route;
        this.deadline = deadline;
    }

    /** Starts to guard a request whose body has been read. */
    static AnswerGuard start(
            GatewayContext context,
            HttpServerExchange exchange,
            RequestMetadata metadata,
            String route,
            RequestDeadline deadline) {
        AnswerGuard guard = new AnswerGuard(context, exchange, metadata, route, deadline);
        XnioExecutor.Key timer =
                context.timer(
                        deadline.untilDeadlineMillis() + REPORT_MARGIN_MILLIS,
                        guard::reportIfUnanswered);
        exchange.addExchangeCompleteListener(
                (ended, next) -> {
                    timer.remove();
                    next.proceed();
                });
        return guard;
    }

    /** Records what the request waits for from now on. */
    void enter(Stage next) {
        stage = next;
    }

    private boolean isUnanswered() {
        return !exchange.isResponseStarted()
                && !exchange.isComplete()
                && exchange.getConnection().isOpen();
    }

    private void reportIfUnanswered() {
        if (isUnanswered()) {
            context.metrics().recordUnanswered(stage);
            LOG.error(
                    "event=request-unanswered request="
                            + metadata.attempt()
                            + " route="
                            + route
                            + " stage="
                            + stage.name().toLowerCase(Locale.ROOT)
                            + " after_ms="
                            + deadline.elapsedMillis());
        }
    }
}
