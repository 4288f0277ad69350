package org.tamaracktrack.daemon.gateway;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.ErrorCode;

/** Answers to requests that are not passed on. */
final class Refusals {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.refusals");

    /** A daemon that starts is ready in about this time. */
    private static final String RETRY_AFTER_SECONDS = "0.5";

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long LEAST_RETURN_MILLIS = 300;
    private static final long RETURN_SPREAD_MILLIS = 500;

    private Refusals() {}

    static void answer(HttpServerExchange exchange, ErrorCode code) {
        answer(exchange, code, RETRY_AFTER_SECONDS);
    }

    /** Callers that were refused in the same moment come back at different ones. */
    static void outdated(HttpServerExchange exchange, double draw) {
        long millis = LEAST_RETURN_MILLIS + (long) (RETURN_SPREAD_MILLIS * draw);
        answer(exchange, ErrorCode.OUTDATED, String.valueOf(millis / MILLIS_PER_SECOND));
    }

    private static void answer(
            HttpServerExchange exchange, ErrorCode code, String retryAfterSeconds) {
        LOG.info(
                "event=refused code="
                        + code
                        + " status="
                        + code.status()
                        + " host="
                        + exchange.getHostName()
                        + " path="
                        + exchange.getRequestURI());
        exchange.setStatusCode(code.status());
        if (code.retryable()) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfterSeconds);
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send("{\"error\":\"" + code + "\"}");
    }
}
