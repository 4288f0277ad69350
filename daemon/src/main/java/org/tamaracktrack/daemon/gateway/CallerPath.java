package org.tamaracktrack.daemon.gateway;

import io.undertow.server.HttpServerExchange;

/** The path and query of a caller's request, as the caller wrote them. */
final class CallerPath {
    private CallerPath() {}

    static String of(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        return query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + '?' + query;
    }
}
