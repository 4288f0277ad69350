package org.tamaracktrack.daemon.gateway;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.tamaracktrack.core.account.BearerToken;
import org.tamaracktrack.core.route.RequestAuthorization;

/** Reads what identifies the route and the client account of a caller's request. */
final class CallerIdentity {
    private CallerIdentity() {}

    static RequestAuthorization.Origin origin(HttpServerExchange exchange) {
        return new RequestAuthorization.Origin(
                host(exchange),
                exchange.getRequestURI(),
                BearerToken.parse(authorization(exchange)));
    }

    private static String host(HttpServerExchange exchange) {
        String host =
                Optional.ofNullable(exchange.getRequestHeaders().getFirst(Headers.HOST)).orElse("");
        int port = host.lastIndexOf(':');
        return (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
    }

    /** Returns all values of the header that carries the caller's key. */
    static List<String> authorization(HttpServerExchange exchange) {
        HeaderValues values = exchange.getRequestHeaders().get(Headers.AUTHORIZATION);
        return values == null ? List.of() : List.copyOf(values);
    }
}
