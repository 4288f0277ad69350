package org.tamaracktrack.daemon.gateway;

import io.undertow.server.HttpServerExchange;

/** Returns the path and query of a caller's request as received. */
final class CallerPath {
    private CallerPath() {}

    static String of(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        return query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + '?' + query;
    }
}
