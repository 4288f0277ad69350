package org.tamaracktrack.standins.weights;

import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.tamaracktrack.standins.StandIn;
import org.tamaracktrack.standins.http.HttpErrorException;
import org.tamaracktrack.standins.http.HttpExchanges;

/**
 * Emulates the weight store, which limits the rate of loads. Sends no weights: only the duration of
 * a load is emulated.
 */
public final class WeightStoreStandIn implements StandIn {
    private final TransferLimiter transfers;

    private WeightStoreStandIn(TransferLimiter transfers) {
        this.transfers = transfers;
    }

    record Slow(double factor) {}

    /**
     * Returns a weight store.
     *
     * @param loadsPerSecond the rate limit of loads
     * @param concurrentLoads the number of concurrent loads that run at full speed
     * @param mebibytesPerSecond the full speed of one load
     * @return the stand-in
     */
    public static WeightStoreStandIn of(
            double loadsPerSecond, int concurrentLoads, double mebibytesPerSecond) {
        return new WeightStoreStandIn(
                TransferLimiter.of(
                        loadsPerSecond,
                        concurrentLoads,
                        mebibytesPerSecond,
                        System.currentTimeMillis()));
    }

    @Override
    public HttpHandler serviceHandler() {
        return Handlers.routing().get("/weights/{name}/{version}", this::transfer);
    }

    @Override
    public HttpHandler controlHandler() {
        return Handlers.routing()
                .put("/control/slow", this::setSlowFactor)
                .get("/control/state", this::sendState);
    }

    private void transfer(HttpServerExchange exchange) throws IOException {
        long mebibytes = HttpExchanges.queryParameter(exchange, "mebibytes", 0);
        long millis = startTransfer(mebibytes);
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        try {
            long remainingNanos = deadlineNanos - System.nanoTime();
            while (remainingNanos > 0) {
                LockSupport.parkNanos(remainingNanos);
                remainingNanos = deadlineNanos - System.nanoTime();
            }
        } finally {
            endTransfer();
        }
        HttpExchanges.sendJson(exchange, 200, Map.of("mebibytes", mebibytes));
    }

    private synchronized long startTransfer(long mebibytes) {
        return transfers
                .start(mebibytes, System.currentTimeMillis())
                .orElseThrow(() -> HttpErrorException.of(429, "rate"));
    }

    private synchronized void endTransfer() {
        transfers.end();
    }

    private void setSlowFactor(HttpServerExchange exchange) throws IOException {
        double factor = HttpExchanges.readBody(exchange, Slow.class).factor();
        synchronized (this) {
            transfers.setSlowFactor(factor);
        }
        HttpExchanges.sendJson(exchange, 200, Map.of());
    }

    private void sendState(HttpServerExchange exchange) throws IOException {
        TransferLimiter.State state;
        synchronized (this) {
            state = transfers.state();
        }
        HttpExchanges.sendJson(exchange, 200, state);
    }
}
