package org.tamaracktrack.standins.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.link.codec.Codecs;

/** Reads requests and writes responses of HTTP exchanges. */
public final class HttpExchanges {
    private HttpExchanges() {}

    /**
     * Reads the complete body of the request.
     *
     * @param exchange the exchange
     * @return the body
     * @throws IOException if the connection fails
     */
    public static byte[] readBody(HttpServerExchange exchange) throws IOException {
        return exchange.getInputStream().readAllBytes();
    }

    /**
     * Reads and decodes a JSON body of the request.
     *
     * @param exchange the exchange
     * @param type the type to decode
     * @param <T> the type to decode
     * @return the value
     * @throws IOException if the connection fails
     * @throws HttpErrorException with status 400 if the body can't be decoded
     */
    public static <T> T readBody(HttpServerExchange exchange, Class<T> type) throws IOException {
        try {
            return Codecs.decode(Codecs.json(), readBody(exchange), type);
        } catch (TamaracktrackException failure) {
            throw HttpErrorException.of(400, "bad_request");
        }
    }

    /**
     * Sends a JSON response.
     *
     * @param exchange the exchange
     * @param status the HTTP status
     * @param value the value to encode as the body
     * @throws IOException if the connection fails
     */
    public static void sendJson(HttpServerExchange exchange, int status, Object value)
            throws IOException {
        byte[] bytes = Codecs.encode(Codecs.json(), value);
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.setResponseContentLength(bytes.length);
        exchange.getOutputStream().write(bytes);
        exchange.getOutputStream().close();
    }

    /**
     * Sends an error response.
     *
     * @param exchange the exchange
     * @param status the HTTP status
     * @param code the error code
     * @throws IOException if the connection fails
     */
    public static void sendError(HttpServerExchange exchange, int status, String code)
            throws IOException {
        sendJson(exchange, status, Map.of("error", Map.of("code", code)));
    }

    /**
     * Closes the connection without a complete response.
     *
     * @param exchange the exchange
     * @throws IOException if closing fails
     */
    public static void closeConnection(HttpServerExchange exchange) throws IOException {
        exchange.getConnection().close();
    }

    /**
     * Returns the value of a query parameter.
     *
     * @param exchange the exchange
     * @param name the name
     * @return the first value; empty if there is none
     */
    public static Optional<String> queryParameter(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getQueryParameters().get(name))
                .map(values -> values.peekFirst());
    }

    /**
     * Returns the value of a numeric query parameter.
     *
     * @param exchange the exchange
     * @param name the name
     * @param defaultValue the value if the parameter is missing
     * @return the number
     * @throws HttpErrorException with status 400 if the value isn't a number
     */
    public static long queryParameter(HttpServerExchange exchange, String name, long defaultValue) {
        try {
            return queryParameter(exchange, name).map(Long::parseLong).orElse(defaultValue);
        } catch (NumberFormatException failure) {
            throw HttpErrorException.of(400, "bad_number");
        }
    }

    /**
     * Returns the value of a request header.
     *
     * @param exchange the exchange
     * @param name the name
     * @return the first value; empty if there is none
     */
    public static Optional<String> header(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
    }
}
