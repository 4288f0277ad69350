package org.tamaracktrack.standins.engine;

import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Map;
import org.tamaracktrack.standins.StandIn;
import org.tamaracktrack.standins.http.Control;
import org.tamaracktrack.standins.http.Gate;
import org.tamaracktrack.standins.http.HttpExchanges;
import org.tamaracktrack.standins.http.ResponseTruncator;
import org.tamaracktrack.standins.service.RunCounter;

/** Emulates a model engine. */
public final class EngineStandIn implements StandIn {
    private final AcceleratorMemory memory;
    private final OrderTracker orderTracker;
    private final BatchRunner batchRunner;
    private final Gate gate;
    private final ResponseTruncator truncator = new ResponseTruncator();
    private final RunCounter runs = new RunCounter();
    private final RunCounter runsByPrompt = new RunCounter();
    private final OrderHandler orderHandler;
    private final CompletionHandler completionHandler;
    private volatile long loadLagMillis;

    private EngineStandIn(
            AcceleratorMemory memory,
            OrderTracker orderTracker,
            BatchRunner batchRunner,
            Gate gate,
            PrefixCache prefixCache,
            WeightSource weightSource,
            long unloadMillis,
            long loadLagMillis) {
        this.memory = memory;
        this.orderTracker = orderTracker;
        this.batchRunner = batchRunner;
        this.gate = gate;
        this.loadLagMillis = loadLagMillis;
        this.orderHandler =
                new OrderHandler(
                        memory, orderTracker, batchRunner, weightSource, unloadMillis, gate);
        this.completionHandler =
                new CompletionHandler(
                        memory, batchRunner, prefixCache, runs, runsByPrompt, gate, truncator);
    }

    /**
     * Returns an engine, and starts its batch thread.
     *
     * @param memory the memory of its accelerators
     * @param orderTracker tracks the orders
     * @param scheduler schedules the requests
     * @param prefixCache the prefix cache
     * @param weightSource the source of weights
     * @param unloadMillis the duration of an unload in milliseconds
     * @param loadLagMillis the age of the published load figures in milliseconds
     * @return the stand-in
     */
    public static EngineStandIn of(
            AcceleratorMemory memory,
            OrderTracker orderTracker,
            BatchScheduler scheduler,
            PrefixCache prefixCache,
            WeightSource weightSource,
            long unloadMillis,
            long loadLagMillis) {
        Gate gate = new Gate();
        return new EngineStandIn(
                memory,
                orderTracker,
                BatchRunner.start(scheduler, gate),
                gate,
                prefixCache,
                weightSource,
                unloadMillis,
                loadLagMillis);
    }

    @Override
    public HttpHandler serviceHandler() {
        return Handlers.routing()
                .post("/v1/chat/completions", completionHandler)
                .post("/v1/completions", completionHandler)
                .post("/admin/orders", orderHandler)
                .get("/admin/inventory", this::sendInventory);
    }

    @Override
    public HttpHandler controlHandler() {
        return Handlers.routing()
                .put("/control/orders", orderHandler::setFaults)
                .get("/control/orders", orderHandler::sendDelayedOrders)
                .put("/control/freeze", this::setFrozen)
                .put("/control/cut", this::truncateNext)
                .put("/control/load-lag", this::setLoadLag)
                .get("/control/runs", this::runs)
                .get("/control/state", call -> HttpExchanges.sendJson(call, 200, state()));
    }

    private void sendInventory(HttpServerExchange exchange) throws IOException {
        gate.awaitOpen();
        HttpExchanges.sendJson(exchange, 200, state());
    }

    private Inventory state() {
        Inventory.LoadState load = batchRunner.loadAt(System.currentTimeMillis() - loadLagMillis);
        synchronized (memory) {
            return new Inventory(
                    orderTracker.highestFencing(),
                    orderHandler.role(),
                    memory.accelerators(),
                    memory.models(),
                    orderTracker.recentOrders(),
                    load,
                    memory.overcommits());
        }
    }

    private void setFrozen(HttpServerExchange exchange) throws IOException {
        gate.setClosed(HttpExchanges.readBody(exchange, Control.Switch.class).on());
        HttpExchanges.sendJson(exchange, 200, Map.of());
    }

    private void truncateNext(HttpServerExchange exchange) throws IOException {
        truncator.truncateNext(HttpExchanges.readBody(exchange, Control.Cut.class));
        HttpExchanges.sendJson(exchange, 200, Map.of());
    }

    private void setLoadLag(HttpServerExchange exchange) throws IOException {
        loadLagMillis = HttpExchanges.readBody(exchange, Control.Millis.class).millis();
        HttpExchanges.sendJson(exchange, 200, Map.of());
    }

    private void runs(HttpServerExchange exchange) throws IOException {
        HttpExchanges.sendJson(
                exchange, 200, Map.of("runs", runs.counts(), "byPrompt", runsByPrompt.counts()));
    }
}
