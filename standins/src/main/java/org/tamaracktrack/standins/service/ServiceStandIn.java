package org.tamaracktrack.standins.service;

import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.tamaracktrack.link.codec.Codecs;
import org.tamaracktrack.standins.StandIn;
import org.tamaracktrack.standins.http.Control;
import org.tamaracktrack.standins.http.Gate;
import org.tamaracktrack.standins.http.HttpExchanges;
import org.tamaracktrack.standins.http.ResponseTruncator;
import org.tamaracktrack.standins.http.Sha256;

/** Emulates a plain service, and counts the runs of each request. */
public final class ServiceStandIn implements StandIn {
    private static final String REQUEST_ID = "X-Request-Id";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private final String name;
    private final RunCounter runsByRequest = new RunCounter();
    private final RunCounter runsByKey = new RunCounter();
    private final RunCounter runsByBody = new RunCounter();
    private final Gate gate = new Gate();
    private final ResponseTruncator truncator = new ResponseTruncator();
    private volatile long delayMillis;

    private ServiceStandIn(String name, long delayMillis) {
        this.name = name;
        this.delayMillis = delayMillis;
    }

    /**
     * Returns a service.
     *
     * @param name the name of the service in its responses
     * @param delayMillis the duration of each request in milliseconds
     * @return the stand-in
     */
    public static ServiceStandIn of(String name, long delayMillis) {
        return new ServiceStandIn(name, delayMillis);
    }

    @Override
    public HttpHandler serviceHandler() {
        return this::handleRequest;
    }

    @Override
    public HttpHandler controlHandler() {
        return Handlers.routing()
                .put("/control/delay", this::setDelay)
                .put("/control/freeze", this::setFrozen)
                .put("/control/cut", this::truncateNext)
                .get("/control/runs", this::sendRuns);
    }

    private void handleRequest(HttpServerExchange exchange) throws IOException {
        byte[] body = HttpExchanges.readBody(exchange);
        gate.awaitOpen();
        int run =
                HttpExchanges.header(exchange, REQUEST_ID).map(runsByRequest::increment).orElse(1);
        HttpExchanges.header(exchange, IDEMPOTENCY_KEY).ifPresent(runsByKey::increment);
        runsByBody.increment(Sha256.hex(body));
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(delayMillis));
        gate.awaitOpen();
        send(exchange, responseBody(exchange, body, run));
    }

    private Map<String, Object> responseBody(HttpServerExchange exchange, byte[] body, int run) {
        String query = exchange.getQueryString();
        String path = exchange.getRequestPath();
        return new TreeMap<>(
                Map.of(
                        "service",
                        name,
                        "method",
                        exchange.getRequestMethod().toString(),
                        "path",
                        query.isEmpty() ? path : path + "?" + query,
                        "body_sha256",
                        Sha256.hex(body),
                        "run",
                        run));
    }

    private void send(HttpServerExchange exchange, Map<String, Object> responseBody)
            throws IOException {
        byte[] bytes = Codecs.encode(Codecs.json(), responseBody);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.setResponseContentLength(bytes.length);
        try (OutputStream output = truncator.output(exchange)) {
            output.write(bytes);
        }
    }

    private void setDelay(HttpServerExchange exchange) throws IOException {
        delayMillis = HttpExchanges.readBody(exchange, Control.Millis.class).millis();
        HttpExchanges.sendJson(exchange, 200, Map.of());
    }

    private void setFrozen(HttpServerExchange exchange) throws IOException {
        gate.setClosed(HttpExchanges.readBody(exchange, Control.Switch.class).on());
        HttpExchanges.sendJson(exchange, 200, Map.of());
    }

    private void truncateNext(HttpServerExchange exchange) throws IOException {
        truncator.truncateNext(HttpExchanges.readBody(exchange, Control.Cut.class));
        HttpExchanges.sendJson(exchange, 200, Map.of());
    }

    private void sendRuns(HttpServerExchange exchange) throws IOException {
        HttpExchanges.sendJson(
                exchange,
                200,
                Map.of(
                        "runs", runsByRequest.counts(),
                        "byKey", runsByKey.counts(),
                        "byBody", runsByBody.counts()));
    }
}
