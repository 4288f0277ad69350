package org.tamaracktrack.standins.log;

import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import org.tamaracktrack.standins.StandIn;
import org.tamaracktrack.standins.http.Control;
import org.tamaracktrack.standins.http.HttpErrorException;
import org.tamaracktrack.standins.http.HttpExchanges;
import org.tamaracktrack.standins.http.TokenBucket;

/** Emulates the log service. */
public final class LogStandIn implements StandIn {
    private static final int MAXIMUM_PAGE_RECORDS = 1000;

    private final LogStore store;
    private TokenBucket rate;
    private boolean outage;
    private long responseDelayMillis;
    private int responsesToLose;
    private long appends;
    private long reads;

    private LogStandIn(LogStore store, TokenBucket rate) {
        this.store = store;
        this.rate = rate;
    }

    record Retention(int records) {}

    record Rate(double appendsPerSecond) {}

    /**
     * Returns an empty log.
     *
     * @param retainedRecords the number of records that each stream retains
     * @param appendsPerSecond the rate limit of appends
     * @return the stand-in
     */
    public static LogStandIn of(int retainedRecords, double appendsPerSecond) {
        return new LogStandIn(LogStore.of(retainedRecords), bucket(appendsPerSecond));
    }

    private static TokenBucket bucket(double perSecond) {
        return TokenBucket.of(perSecond, Math.max(1, perSecond), System.currentTimeMillis());
    }

    @Override
    public HttpHandler serviceHandler() {
        return Handlers.routing()
                .post("/streams/{stream}/records", this::append)
                .get("/streams/{stream}/records", this::read);
    }

    @Override
    public HttpHandler controlHandler() {
        return Handlers.routing()
                .put(
                        "/control/outage",
                        call -> applySetting(call, Control.Switch.class, this::setOutage))
                .put(
                        "/control/slow",
                        call -> applySetting(call, Control.Millis.class, this::setResponseDelay))
                .put(
                        "/control/lose-answers",
                        call -> applySetting(call, Control.Count.class, this::setResponsesToLose))
                .put(
                        "/control/retention",
                        call -> applySetting(call, Retention.class, this::setRetention))
                .put("/control/rate", call -> applySetting(call, Rate.class, this::setRate))
                .get("/control/state", call -> HttpExchanges.sendJson(call, 200, state()));
    }

    private interface Setter<T> {
        void set(T value);
    }

    private <T> void applySetting(HttpServerExchange exchange, Class<T> type, Setter<T> setter)
            throws IOException {
        T value = HttpExchanges.readBody(exchange, type);
        synchronized (this) {
            setter.set(value);
            notifyAll();
        }
        HttpExchanges.sendJson(exchange, 200, Map.of());
    }

    private void setOutage(Control.Switch value) {
        outage = value.on();
    }

    private void setResponseDelay(Control.Millis value) {
        responseDelayMillis = value.millis();
    }

    private void setResponsesToLose(Control.Count value) {
        responsesToLose = value.count();
    }

    private void setRetention(Retention value) {
        store.setRetainedRecords(value.records());
    }

    private void setRate(Rate value) {
        rate = bucket(value.appendsPerSecond());
    }

    private synchronized Map<String, Object> state() {
        return new TreeMap<>(
                Map.of(
                        "outage", outage,
                        "slowMillis", responseDelayMillis,
                        "answersToLose", responsesToLose,
                        "appends", appends,
                        "reads", reads,
                        "nextOffsets", store.nextOffsets()));
    }

    private void append(HttpServerExchange exchange) throws IOException {
        String stream = HttpExchanges.queryParameter(exchange, "stream").orElseThrow();
        String body = new String(HttpExchanges.readBody(exchange), StandardCharsets.UTF_8);
        delayResponse();
        LogStore.StoredRecord written;
        boolean responseLost;
        synchronized (this) {
            checkAppendAllowed();
            written = store.append(stream, body, System.currentTimeMillis());
            appends++;
            responseLost = responsesToLose > 0;
            responsesToLose -= responseLost ? 1 : 0;
            notifyAll();
        }
        if (responseLost) {
            HttpExchanges.closeConnection(exchange);
            return;
        }
        HttpExchanges.sendJson(
                exchange,
                200,
                Map.of(
                        "offset", written.offset(),
                        "appendedAtMillis", written.appendedAtMillis()));
    }

    private void checkAppendAllowed() {
        checkAvailable();
        if (!rate.tryTake(System.currentTimeMillis())) {
            throw HttpErrorException.of(429, "rate");
        }
    }

    private void checkAvailable() {
        if (outage) {
            throw HttpErrorException.of(503, "outage");
        }
    }

    private void read(HttpServerExchange exchange) throws IOException {
        String stream = HttpExchanges.queryParameter(exchange, "stream").orElseThrow();
        long from = HttpExchanges.queryParameter(exchange, "from", 0);
        int maximum = (int) HttpExchanges.queryParameter(exchange, "maximum", MAXIMUM_PAGE_RECORDS);
        long waitMillis = HttpExchanges.queryParameter(exchange, "waitMillis", 0);
        delayResponse();
        HttpExchanges.sendJson(exchange, 200, awaitPage(stream, from, maximum, waitMillis));
    }

    private synchronized LogStore.Page awaitPage(
            String stream, long from, int maximum, long waitMillis) {
        long deadlineMillis = System.currentTimeMillis() + waitMillis;
        while (true) {
            checkAvailable();
            LogStore.Page page = store.read(stream, from, Math.min(maximum, MAXIMUM_PAGE_RECORDS));
            long remainingMillis = deadlineMillis - System.currentTimeMillis();
            if (page.nextOffset() > from || remainingMillis <= 0) {
                reads++;
                return page;
            }
            waitFor(remainingMillis);
        }
    }

    private synchronized void delayResponse() {
        long deadlineMillis = System.currentTimeMillis() + responseDelayMillis;
        long remainingMillis = responseDelayMillis;
        while (remainingMillis > 0) {
            waitFor(remainingMillis);
            remainingMillis =
                    Math.min(responseDelayMillis, deadlineMillis - System.currentTimeMillis());
        }
    }

    private void waitFor(long millis) {
        try {
            wait(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw HttpErrorException.of(503, "stopping");
        }
    }
}
