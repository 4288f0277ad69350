package org.tamaracktrack.standins.log;

import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import org.tamaracktrack.standins.StandIn;
import org.tamaracktrack.standins.http.Answers;
import org.tamaracktrack.standins.http.BadCallException;
import org.tamaracktrack.standins.http.Control;
import org.tamaracktrack.standins.http.TokenBucket;

/** The append-only log. */
public final class LogStandIn implements StandIn {
    private static final int MAXIMUM_PAGE = 1000;

    private final LogStore store;
    private TokenBucket rate;
    private boolean outage;
    private long slowMillis;
    private int answersToLose;
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
     * @param retainedRecords how many records each stream keeps
     * @param appendsPerSecond the limit of the rate of appends
     * @return the stand-in
     */
    public static LogStandIn of(int retainedRecords, double appendsPerSecond) {
        return new LogStandIn(LogStore.of(retainedRecords), bucket(appendsPerSecond));
    }

    private static TokenBucket bucket(double perSecond) {
        return TokenBucket.of(perSecond, Math.max(1, perSecond), System.currentTimeMillis());
    }

    @Override
    public HttpHandler service() {
        return Handlers.routing()
                .post("/streams/{stream}/records", this::append)
                .get("/streams/{stream}/records", this::read);
    }

    @Override
    public HttpHandler control() {
        return Handlers.routing()
                .put("/control/outage", call -> set(call, Control.Switch.class, this::setOutage))
                .put("/control/slow", call -> set(call, Control.Millis.class, this::setSlow))
                .put("/control/lose-answers", call -> set(call, Control.Count.class, this::setLose))
                .put("/control/retention", call -> set(call, Retention.class, this::setRetention))
                .put("/control/rate", call -> set(call, Rate.class, this::setRate))
                .get("/control/state", call -> Answers.json(call, 200, state()));
    }

    private interface Setter<T> {
        void set(T value);
    }

    private <T> void set(HttpServerExchange exchange, Class<T> type, Setter<T> setter)
            throws IOException {
        T value = Answers.body(exchange, type);
        synchronized (this) {
            setter.set(value);
            notifyAll();
        }
        Answers.json(exchange, 200, Map.of());
    }

    private void setOutage(Control.Switch value) {
        outage = value.on();
    }

    private void setSlow(Control.Millis value) {
        slowMillis = value.millis();
    }

    private void setLose(Control.Count value) {
        answersToLose = value.count();
    }

    private void setRetention(Retention value) {
        store.retain(value.records());
    }

    private void setRate(Rate value) {
        rate = bucket(value.appendsPerSecond());
    }

    private synchronized Map<String, Object> state() {
        return new TreeMap<>(
                Map.of(
                        "outage", outage,
                        "slowMillis", slowMillis,
                        "answersToLose", answersToLose,
                        "appends", appends,
                        "reads", reads,
                        "nextOffsets", store.nextOffsets()));
    }

    private void append(HttpServerExchange exchange) throws IOException {
        String stream = Answers.query(exchange, "stream").orElseThrow();
        String body = new String(Answers.body(exchange), StandardCharsets.UTF_8);
        waitIfSlow();
        LogStore.StoredRecord written;
        boolean lost;
        synchronized (this) {
            checkTakesAppends();
            written = store.append(stream, body, System.currentTimeMillis());
            appends++;
            lost = answersToLose > 0;
            answersToLose -= lost ? 1 : 0;
            notifyAll();
        }
        if (lost) {
            Answers.drop(exchange);
            return;
        }
        Answers.json(
                exchange,
                200,
                Map.of(
                        "offset", written.offset(),
                        "appendedAtMillis", written.appendedAtMillis()));
    }

    private void checkTakesAppends() {
        checkUp();
        if (!rate.take(System.currentTimeMillis())) {
            throw BadCallException.of(429, "rate");
        }
    }

    private void checkUp() {
        if (outage) {
            throw BadCallException.of(503, "outage");
        }
    }

    private void read(HttpServerExchange exchange) throws IOException {
        String stream = Answers.query(exchange, "stream").orElseThrow();
        long from = Answers.query(exchange, "from", 0);
        int maximum = (int) Answers.query(exchange, "maximum", MAXIMUM_PAGE);
        long waitMillis = Answers.query(exchange, "waitMillis", 0);
        waitIfSlow();
        Answers.json(exchange, 200, awaitPage(stream, from, maximum, waitMillis));
    }

    private synchronized LogStore.Page awaitPage(
            String stream, long from, int maximum, long waitMillis) {
        long until = System.currentTimeMillis() + waitMillis;
        while (true) {
            checkUp();
            LogStore.Page page = store.read(stream, from, Math.min(maximum, MAXIMUM_PAGE));
            long left = until - System.currentTimeMillis();
            if (page.nextOffset() > from || left <= 0) {
                reads++;
                return page;
            }
            waitFor(left);
        }
    }

    private synchronized void waitIfSlow() {
        long until = System.currentTimeMillis() + slowMillis;
        long left = slowMillis;
        while (left > 0) {
            waitFor(left);
            left = Math.min(slowMillis, until - System.currentTimeMillis());
        }
    }

    private void waitFor(long millis) {
        try {
            wait(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw BadCallException.of(503, "stopping");
        }
    }
}
