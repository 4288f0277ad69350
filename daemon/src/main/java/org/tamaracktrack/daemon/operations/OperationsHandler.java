package org.tamaracktrack.daemon.operations;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.util.Objects;
import java.util.function.BooleanSupplier;

/** Serves {@code /healthz}, {@code /readyz} and {@code /metrics}, and passes other requests on. */
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
     * @param metrics the metrics registry that {@code /metrics} exposes
     * @param ready whether new requests may be sent to this daemon
     * @param next the handler for all other paths
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
            case "/healthz" -> respond(exchange, StatusCodes.OK, PLAIN_TEXT, "ok\n");
            case "/readyz" -> respondWithReadiness(exchange);
            case "/metrics" -> respond(exchange, StatusCodes.OK, PROMETHEUS_TEXT, metrics.scrape());
            default -> next.handleRequest(exchange);
        }
    }

    private void respondWithReadiness(HttpServerExchange exchange) {
        if (ready.getAsBoolean()) {
            respond(exchange, StatusCodes.OK, PLAIN_TEXT, "ready\n");
        } else {
            respond(exchange, StatusCodes.SERVICE_UNAVAILABLE, PLAIN_TEXT, "not ready\n");
        }
    }

    private static void respond(
            HttpServerExchange exchange, int status, String contentType, String body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        exchange.getResponseSender().send(body);
    }
}
