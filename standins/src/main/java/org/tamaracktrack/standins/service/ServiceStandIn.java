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
import org.tamaracktrack.standins.http.AnswerCutter;
import org.tamaracktrack.standins.http.Answers;
import org.tamaracktrack.standins.http.Control;
import org.tamaracktrack.standins.http.Gate;
import org.tamaracktrack.standins.http.Sha256;

/** A plain service, which counts how often each call ran. */
public final class ServiceStandIn implements StandIn {
    private static final String REQUEST_ID = "X-Request-Id";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private final String name;
    private final RunCounter byRequest = new RunCounter();
    private final RunCounter byKey = new RunCounter();
    private final RunCounter byBody = new RunCounter();
    private final Gate gate = new Gate();
    private final AnswerCutter cutter = new AnswerCutter();
    private volatile long delayMillis;

    private ServiceStandIn(String name, long delayMillis) {
        this.name = name;
        this.delayMillis = delayMillis;
    }

    /**
     * Returns a service.
     *
     * @param name its name in its answers
     * @param delayMillis how long each call takes
     * @return the stand-in
     */
    public static ServiceStandIn of(String name, long delayMillis) {
        return new ServiceStandIn(name, delayMillis);
    }

    @Override
    public HttpHandler service() {
        return this::run;
    }

    @Override
    public HttpHandler control() {
        return Handlers.routing()
                .put("/control/delay", this::setDelay)
                .put("/control/freeze", this::freeze)
                .put("/control/cut", this::cut)
                .get("/control/runs", this::runs);
    }

    private void run(HttpServerExchange exchange) throws IOException {
        byte[] body = Answers.body(exchange);
        gate.pass();
        int run = Answers.header(exchange, REQUEST_ID).map(byRequest::count).orElse(1);
        Answers.header(exchange, IDEMPOTENCY_KEY).ifPresent(byKey::count);
        byBody.count(Sha256.hex(body));
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(delayMillis));
        gate.pass();
        send(exchange, answer(exchange, body, run));
    }

    private Map<String, Object> answer(HttpServerExchange exchange, byte[] body, int run) {
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

    private void send(HttpServerExchange exchange, Map<String, Object> answer) throws IOException {
        byte[] bytes = Codecs.encode(Codecs.json(), answer);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.setResponseContentLength(bytes.length);
        try (OutputStream output = cutter.output(exchange)) {
            output.write(bytes);
        }
    }

    private void setDelay(HttpServerExchange exchange) throws IOException {
        delayMillis = Answers.body(exchange, Control.Millis.class).millis();
        Answers.json(exchange, 200, Map.of());
    }

    private void freeze(HttpServerExchange exchange) throws IOException {
        gate.set(Answers.body(exchange, Control.Switch.class).on());
        Answers.json(exchange, 200, Map.of());
    }

    private void cut(HttpServerExchange exchange) throws IOException {
        cutter.set(Answers.body(exchange, Control.Cut.class));
        Answers.json(exchange, 200, Map.of());
    }

    private void runs(HttpServerExchange exchange) throws IOException {
        Answers.json(
                exchange,
                200,
                Map.of(
                        "runs", byRequest.runs(),
                        "byKey", byKey.runs(),
                        "byBody", byBody.runs()));
    }
}
