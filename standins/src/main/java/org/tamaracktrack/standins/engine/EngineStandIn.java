package org.tamaracktrack.standins.engine;

import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Map;
import org.tamaracktrack.standins.StandIn;
import org.tamaracktrack.standins.http.AnswerCutter;
import org.tamaracktrack.standins.http.Answers;
import org.tamaracktrack.standins.http.Control;
import org.tamaracktrack.standins.http.Gate;
import org.tamaracktrack.standins.service.RunCounter;

/** A model engine. */
public final class EngineStandIn implements StandIn {
    private final MemoryBook memory;
    private final OrderBook orderBook;
    private final Batcher batcher;
    private final Gate gate;
    private final AnswerCutter cutter = new AnswerCutter();
    private final RunCounter runs = new RunCounter();
    private final RunCounter byPrompt = new RunCounter();
    private final OrderHandler orders;
    private final CompletionHandler completions;
    private volatile long loadLagMillis;

    private EngineStandIn(
            MemoryBook memory,
            OrderBook orderBook,
            Batcher batcher,
            Gate gate,
            PrefixCache prefixes,
            WeightSource weights,
            long unloadMillis,
            long loadLagMillis) {
        this.memory = memory;
        this.orderBook = orderBook;
        this.batcher = batcher;
        this.gate = gate;
        this.loadLagMillis = loadLagMillis;
        this.orders = new OrderHandler(memory, orderBook, batcher, weights, unloadMillis, gate);
        this.completions =
                new CompletionHandler(memory, batcher, prefixes, runs, byPrompt, gate, cutter);
    }

    /**
     * Returns an engine, with its batch running.
     *
     * @param memory its memory
     * @param orders its orders
     * @param scheduler its batch
     * @param prefixes its prefix cache
     * @param weights where it gets weights from
     * @param unloadMillis how long an unload takes
     * @param loadLagMillis how old the load figures are that it publishes
     * @return the stand-in
     */
    public static EngineStandIn of(
            MemoryBook memory,
            OrderBook orders,
            BatchScheduler scheduler,
            PrefixCache prefixes,
            WeightSource weights,
            long unloadMillis,
            long loadLagMillis) {
        Gate gate = new Gate();
        return new EngineStandIn(
                memory,
                orders,
                Batcher.start(scheduler, gate),
                gate,
                prefixes,
                weights,
                unloadMillis,
                loadLagMillis);
    }

    @Override
    public HttpHandler service() {
        return Handlers.routing()
                .post("/v1/chat/completions", completions)
                .post("/v1/completions", completions)
                .post("/admin/orders", orders)
                .get("/admin/inventory", this::inventory);
    }

    @Override
    public HttpHandler control() {
        return Handlers.routing()
                .put("/control/orders", orders::setFaults)
                .get("/control/orders", orders::showWaiting)
                .put("/control/freeze", this::freeze)
                .put("/control/cut", this::cut)
                .put("/control/load-lag", this::setLoadLag)
                .get("/control/runs", this::runs)
                .get("/control/state", call -> Answers.json(call, 200, state()));
    }

    private void inventory(HttpServerExchange exchange) throws IOException {
        gate.pass();
        Answers.json(exchange, 200, state());
    }

    private Inventory state() {
        Inventory.LoadState load = batcher.loadAt(System.currentTimeMillis() - loadLagMillis);
        synchronized (memory) {
            return new Inventory(
                    orderBook.highestFencing(),
                    orders.role(),
                    memory.accelerators(),
                    memory.models(),
                    orderBook.recent(),
                    load,
                    memory.overcommits());
        }
    }

    private void freeze(HttpServerExchange exchange) throws IOException {
        gate.set(Answers.body(exchange, Control.Switch.class).on());
        Answers.json(exchange, 200, Map.of());
    }

    private void cut(HttpServerExchange exchange) throws IOException {
        cutter.set(Answers.body(exchange, Control.Cut.class));
        Answers.json(exchange, 200, Map.of());
    }

    private void setLoadLag(HttpServerExchange exchange) throws IOException {
        loadLagMillis = Answers.body(exchange, Control.Millis.class).millis();
        Answers.json(exchange, 200, Map.of());
    }

    private void runs(HttpServerExchange exchange) throws IOException {
        Answers.json(exchange, 200, Map.of("runs", runs.runs(), "byPrompt", byPrompt.runs()));
    }
}
