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

    private Refusals() {}

    static void answer(HttpServerExchange exchange, ErrorCode code) {
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
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send("{\"error\":\"" + code + "\"}");
    }
}
