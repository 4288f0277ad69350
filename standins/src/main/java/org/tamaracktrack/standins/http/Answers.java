package org.tamaracktrack.standins.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.link.codec.Codecs;

/** Reads calls and writes answers. */
public final class Answers {
    private Answers() {}

    /**
     * Reads the whole body.
     *
     * @param exchange the call
     * @return the body
     * @throws IOException when the caller goes away
     */
    public static byte[] body(HttpServerExchange exchange) throws IOException {
        return exchange.getInputStream().readAllBytes();
    }

    /**
     * Reads a JSON body.
     *
     * @param exchange the call
     * @param type what it holds
     * @param <T> what it holds
     * @return the value
     * @throws IOException when the caller goes away
     * @throws BadCallException when it is no such value
     */
    public static <T> T body(HttpServerExchange exchange, Class<T> type) throws IOException {
        try {
            return Codecs.decode(Codecs.json(), body(exchange), type);
        } catch (TamaracktrackException wrong) {
            throw BadCallException.of(400, "bad_request");
        }
    }

    /**
     * Sends an answer.
     *
     * @param exchange the call
     * @param status the HTTP status
     * @param value what the JSON body holds
     * @throws IOException when the caller goes away
     */
    public static void json(HttpServerExchange exchange, int status, Object value)
            throws IOException {
        byte[] bytes = Codecs.encode(Codecs.json(), value);
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.setResponseContentLength(bytes.length);
        exchange.getOutputStream().write(bytes);
        exchange.getOutputStream().close();
    }

    /**
     * Sends an error.
     *
     * @param exchange the call
     * @param status the HTTP status
     * @param code the error's code
     * @throws IOException when the caller goes away
     */
    public static void error(HttpServerExchange exchange, int status, String code)
            throws IOException {
        json(exchange, status, Map.of("error", Map.of("code", code)));
    }

    /**
     * Closes the connection without an answer, or in the middle of one.
     *
     * @param exchange the call
     * @throws IOException when closing fails
     */
    public static void drop(HttpServerExchange exchange) throws IOException {
        exchange.getConnection().close();
    }

    /**
     * Returns a query parameter.
     *
     * @param exchange the call
     * @param name its name
     * @return its first value
     */
    public static Optional<String> query(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getQueryParameters().get(name))
                .map(values -> values.peekFirst());
    }

    /**
     * Returns a query parameter that is a number.
     *
     * @param exchange the call
     * @param name its name
     * @param otherwise the value when it is missing
     * @return the number
     * @throws BadCallException when it is no number
     */
    public static long query(HttpServerExchange exchange, String name, long otherwise) {
        try {
            return query(exchange, name).map(Long::parseLong).orElse(otherwise);
        } catch (NumberFormatException wrong) {
            throw BadCallException.of(400, "bad_number");
        }
    }

    /**
     * Returns a header.
     *
     * @param exchange the call
     * @param name its name
     * @return its first value
     */
    public static Optional<String> header(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
    }
}
