package org.tamaracktrack.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.tamaracktrack.standins.http.Answers;
import org.tamaracktrack.standins.http.Gate;

/** Takes orders and carries them out. */
final class OrderHandler implements HttpHandler {
    private static final int THREADS = 16;
    private static final long UNUSED_LIMIT_MILLIS = 60_000;

    private final MemoryBook memory;
    private final OrderBook orders;
    private final Batcher batcher;
    private final WeightSource weights;
    private final long unloadMillis;
    private final Gate gate;
    private final OrderFaults faults = new OrderFaults();
    private final ScheduledExecutorService executor =
            Executors.newScheduledThreadPool(
                    THREADS,
                    task -> {
                        Thread thread = new Thread(task, "order");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final AtomicInteger onTheirWay = new AtomicInteger();
    private volatile String role = "serve";

    OrderHandler(
            MemoryBook memory,
            OrderBook orders,
            Batcher batcher,
            WeightSource weights,
            long unloadMillis,
            Gate gate) {
        this.memory = memory;
        this.orders = orders;
        this.batcher = batcher;
        this.weights = weights;
        this.unloadMillis = unloadMillis;
        this.gate = gate;
    }

    record FaultSetting(int lose, long delayMillis, @JsonProperty("double") int twice) {}

    String role() {
        return role;
    }

    void setFaults(HttpServerExchange exchange) throws IOException {
        FaultSetting setting = Answers.body(exchange, FaultSetting.class);
        synchronized (memory) {
            faults.set(setting.lose(), setting.delayMillis(), setting.twice());
        }
        Answers.json(exchange, 200, Map.of());
    }

    void showWaiting(HttpServerExchange exchange) throws IOException {
        Answers.json(exchange, 200, Map.of("onTheirWay", onTheirWay.get()));
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        EngineOrder order = Answers.body(exchange, EngineOrder.class);
        gate.pass();
        if (!order.complete()) {
            Answers.error(exchange, 400, "bad_order");
            return;
        }
        int arrivals;
        long delayMillis;
        synchronized (memory) {
            arrivals = faults.arrivals();
            delayMillis = faults.delayMillis();
        }
        if (arrivals == 0) {
            taken(exchange);
        } else if (delayMillis > 0) {
            arriveLate(order, arrivals, delayMillis);
            taken(exchange);
        } else {
            arriveNow(exchange, order, arrivals);
        }
    }

    private void arriveLate(EngineOrder order, int arrivals, long delayMillis) {
        for (int arrival = 0; arrival < arrivals; arrival++) {
            onTheirWay.incrementAndGet();
            executor.schedule(() -> arriveAtLast(order), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void arriveAtLast(EngineOrder order) {
        arrive(order);
        onTheirWay.decrementAndGet();
    }

    private void arriveNow(HttpServerExchange exchange, EngineOrder order, int arrivals)
            throws IOException {
        Refusal refusal = arrive(order);
        if (arrivals > 1) {
            arrive(order);
        }
        switch (refusal) {
            case FENCED -> Answers.error(exchange, 409, "fenced");
            case NO_MEMORY -> Answers.error(exchange, 409, "no_memory");
            default -> taken(exchange);
        }
    }

    private static void taken(HttpServerExchange exchange) throws IOException {
        Answers.json(exchange, 202, Map.of());
    }

    private enum Refusal {
        NONE,
        FENCED,
        NO_MEMORY
    }

    private Refusal arrive(EngineOrder order) {
        synchronized (memory) {
            return switch (orders.decide(order, System.currentTimeMillis())) {
                case FENCED -> Refusal.FENCED;
                case EXPIRED, SEEN -> Refusal.NONE;
                case CARRY_OUT -> carryOut(order);
            };
        }
    }

    private Refusal carryOut(EngineOrder order) {
        MemoryBook.Begun begun =
                switch (order.kind()) {
                    case LOAD_MODEL -> memory.beginLoadModel(order);
                    case LOAD_ADAPTER -> memory.beginLoadAdapter(order);
                    case UNLOAD_MODEL, UNLOAD_ADAPTER -> memory.beginUnload(order);
                    case SET_ROLE -> setRole(order.role());
                };
        switch (begun) {
            case STARTED -> executor.execute(() -> finish(order));
            case ALREADY_DONE -> orders.settle(order.orderId(), OrderBook.Outcome.DONE);
            default -> orders.settle(order.orderId(), OrderBook.Outcome.REFUSED);
        }
        return begun == MemoryBook.Begun.NO_MEMORY ? Refusal.NO_MEMORY : Refusal.NONE;
    }

    private MemoryBook.Begun setRole(String newRole) {
        role = newRole;
        return MemoryBook.Begun.ALREADY_DONE;
    }

    private void finish(EngineOrder order) {
        boolean load =
                order.kind() == EngineOrder.Kind.LOAD_MODEL
                        || order.kind() == EngineOrder.Kind.LOAD_ADAPTER;
        if (load) {
            finishLoad(order);
        } else {
            finishUnload(order);
        }
    }

    private void finishLoad(EngineOrder order) {
        String name = order.adapter() == null ? order.model() : order.adapter();
        boolean loaded = weights.fetch(name, order.version(), order.mebibytes());
        gate.pass();
        synchronized (memory) {
            memory.endLoad(order, loaded);
            orders.settle(
                    order.orderId(), loaded ? OrderBook.Outcome.DONE : OrderBook.Outcome.REFUSED);
        }
    }

    private void finishUnload(EngineOrder order) {
        batcher.awaitUnused(order.model(), UNUSED_LIMIT_MILLIS);
        FixedTimeWeights.of(unloadMillis).fetch(order.model(), "", 0);
        gate.pass();
        synchronized (memory) {
            memory.endUnload(order);
            orders.settle(order.orderId(), OrderBook.Outcome.DONE);
        }
    }
}
