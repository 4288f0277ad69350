package org.tamaracktrack.standins.weights;

import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.tamaracktrack.standins.StandIn;
import org.tamaracktrack.standins.http.Answers;
import org.tamaracktrack.standins.http.BadCallException;

/** The rate-limited store of weights. */
public final class WeightStoreStandIn implements StandIn {
    private final TransferBook transfers;

    private WeightStoreStandIn(TransferBook transfers) {
        this.transfers = transfers;
    }

    record Slow(double factor) {}

    /**
     * Returns a weight store.
     *
     * @param loadsPerSecond the limit of the rate
     * @param concurrentLoads loads at once at full speed
     * @param mebibytesPerSecond the full speed of one transfer
     * @return the stand-in
     */
    public static WeightStoreStandIn of(
            double loadsPerSecond, int concurrentLoads, double mebibytesPerSecond) {
        return new WeightStoreStandIn(
                TransferBook.of(
                        loadsPerSecond,
                        concurrentLoads,
                        mebibytesPerSecond,
                        System.currentTimeMillis()));
    }

    @Override
    public HttpHandler service() {
        return Handlers.routing().get("/weights/{name}/{version}", this::transfer);
    }

    @Override
    public HttpHandler control() {
        return Handlers.routing()
                .put("/control/slow", this::slow)
                .get("/control/state", this::state);
    }

    private void transfer(HttpServerExchange exchange) throws IOException {
        long mebibytes = Answers.query(exchange, "mebibytes", 0);
        long millis = start(mebibytes);
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        try {
            long left = until - System.nanoTime();
            while (left > 0) {
                LockSupport.parkNanos(left);
                left = until - System.nanoTime();
            }
        } finally {
            end();
        }
        Answers.json(exchange, 200, Map.of("mebibytes", mebibytes));
    }

    private synchronized long start(long mebibytes) {
        return transfers
                .start(mebibytes, System.currentTimeMillis())
                .orElseThrow(() -> BadCallException.of(429, "rate"));
    }

    private synchronized void end() {
        transfers.end();
    }

    private void slow(HttpServerExchange exchange) throws IOException {
        double factor = Answers.body(exchange, Slow.class).factor();
        synchronized (this) {
            transfers.slow(factor);
        }
        Answers.json(exchange, 200, Map.of());
    }

    private void state(HttpServerExchange exchange) throws IOException {
        TransferBook.State state;
        synchronized (this) {
            state = transfers.state();
        }
        Answers.json(exchange, 200, state);
    }
}
