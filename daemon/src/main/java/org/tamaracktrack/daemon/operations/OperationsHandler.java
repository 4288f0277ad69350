package org.tamaracktrack.daemon.operations;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.util.Objects;
import java.util.function.BooleanSupplier;

/** Serves {@code /healthz}, {@code /readyz} and {@code /metrics}; the rest goes on. */
public final class OperationsHandler implements HttpHandler {
    private static final String PROMETHEUS_TEXT = "text/plain; version=0.0.4; charset=utf-8";
    private static final String PLAIN_TEXT = "text/plain; charset=utf-8";

    private final PrometheusMeterRegistry metrics;
    private final BooleanSupplier ready;
    private final HttpHandler next;

    private OperationsHandler(
            PrometheusMeterRegistry metrics, BooleanSupplier ready, HttpHandler next) {
        this.metrics = metrics;
        this.ready = ready;
        this.next = next;
    }

    /**
     * Returns a handler.
     *
     * @param metrics the meters
     * @param ready whether new work may be sent here
     * @param next serves every other path
     * @return the handler
     */
    public static OperationsHandler of(
            PrometheusMeterRegistry metrics, BooleanSupplier ready, HttpHandler next) {
        Objects.requireNonNull(metrics, "metrics is null");
        Objects.requireNonNull(ready, "ready is null");
        Objects.requireNonNull(next, "next is null");
        return new OperationsHandler(metrics, ready, next);
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        switch (exchange.getRequestPath()) {
            case "/healthz" -> answer(exchange, StatusCodes.OK, PLAIN_TEXT, "ok\n");
            case "/readyz" -> answerReadiness(exchange);
            case "/metrics" -> answer(exchange, StatusCodes.OK, PROMETHEUS_TEXT, metrics.scrape());
            default -> next.handleRequest(exchange);
        }
    }

    private void answerReadiness(HttpServerExchange exchange) {
        if (ready.getAsBoolean()) {
            answer(exchange, StatusCodes.OK, PLAIN_TEXT, "ready\n");
        } else {
            answer(exchange, StatusCodes.SERVICE_UNAVAILABLE, PLAIN_TEXT, "not ready\n");
        }
    }

    private static void answer(
            HttpServerExchange exchange, int status, String contentType, String body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        exchange.getResponseSender().send(body);
    }
}
