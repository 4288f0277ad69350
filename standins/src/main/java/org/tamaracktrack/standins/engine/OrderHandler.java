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
import org.tamaracktrack.standins.http.Gate;
import org.tamaracktrack.standins.http.HttpExchanges;

/** Receives orders and executes them. */
final class OrderHandler implements HttpHandler {
    private static final int THREADS = 16;
    private static final long UNUSED_WAIT_LIMIT_MILLIS = 60_000;

    private final AcceleratorMemory memory;
    private final OrderTracker orderTracker;
    private final BatchRunner batchRunner;
    private final WeightSource weightSource;
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
    private final AtomicInteger delayedOrders = new AtomicInteger();
    private volatile String role = "serve";

    OrderHandler(
            AcceleratorMemory memory,
            OrderTracker orderTracker,
            BatchRunner batchRunner,
            WeightSource weightSource,
            long unloadMillis,
            Gate gate) {
        this.memory = memory;
        this.orderTracker = orderTracker;
        this.batchRunner = batchRunner;
        this.weightSource = weightSource;
        this.unloadMillis = unloadMillis;
        this.gate = gate;
    }

    record FaultSetting(int lose, long delayMillis, @JsonProperty("double") int twice) {}

    String role() {
        return role;
    }

    void setFaults(HttpServerExchange exchange) throws IOException {
        FaultSetting setting = HttpExchanges.readBody(exchange, FaultSetting.class);
        synchronized (memory) {
            faults.set(setting.lose(), setting.delayMillis(), setting.twice());
        }
        HttpExchanges.sendJson(exchange, 200, Map.of());
    }

    void sendDelayedOrders(HttpServerExchange exchange) throws IOException {
        HttpExchanges.sendJson(exchange, 200, Map.of("onTheirWay", delayedOrders.get()));
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        EngineOrder order = HttpExchanges.readBody(exchange, EngineOrder.class);
        gate.awaitOpen();
        if (!order.hasRequiredFields()) {
            HttpExchanges.sendError(exchange, 400, "bad_order");
            return;
        }
        int deliveries;
        long delayMillis;
        synchronized (memory) {
            deliveries = faults.nextDeliveryCount();
            delayMillis = faults.delayMillis();
        }
        if (deliveries == 0) {
            sendAccepted(exchange);
        } else if (delayMillis > 0) {
            deliverLater(order, deliveries, delayMillis);
            sendAccepted(exchange);
        } else {
            deliverNow(exchange, order, deliveries);
        }
    }

    private void deliverLater(EngineOrder order, int deliveries, long delayMillis) {
        for (int delivery = 0; delivery < deliveries; delivery++) {
            delayedOrders.incrementAndGet();
            executor.schedule(() -> deliverDelayed(order), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void deliverDelayed(EngineOrder order) {
        deliver(order);
        delayedOrders.decrementAndGet();
    }

    private void deliverNow(HttpServerExchange exchange, EngineOrder order, int deliveries)
            throws IOException {
        Refusal refusal = deliver(order);
        if (deliveries > 1) {
            deliver(order);
        }
        switch (refusal) {
            case FENCED -> HttpExchanges.sendError(exchange, 409, "fenced");
            case NO_MEMORY -> HttpExchanges.sendError(exchange, 409, "no_memory");
            default -> sendAccepted(exchange);
        }
    }

    private static void sendAccepted(HttpServerExchange exchange) throws IOException {
        HttpExchanges.sendJson(exchange, 202, Map.of());
    }

    private enum Refusal {
        NONE,
        FENCED,
        NO_MEMORY
    }

    private Refusal deliver(EngineOrder order) {
        synchronized (memory) {
            return switch (orderTracker.decide(order, System.currentTimeMillis())) {
                case FENCED -> Refusal.FENCED;
                case EXPIRED, SEEN -> Refusal.NONE;
                case CARRY_OUT -> execute(order);
            };
        }
    }

    private Refusal execute(EngineOrder order) {
        AcceleratorMemory.BeginResult result =
                switch (order.kind()) {
                    case LOAD_MODEL -> memory.beginLoadModel(order);
                    case LOAD_ADAPTER -> memory.beginLoadAdapter(order);
                    case UNLOAD_MODEL, UNLOAD_ADAPTER -> memory.beginUnload(order);
                    case SET_ROLE -> setRole(order.role());
                };
        switch (result) {
            case STARTED -> executor.execute(() -> completeOrder(order));
            case ALREADY_DONE ->
                    orderTracker.recordOutcome(order.orderId(), OrderTracker.Outcome.DONE);
            default -> orderTracker.recordOutcome(order.orderId(), OrderTracker.Outcome.REFUSED);
        }
        return result == AcceleratorMemory.BeginResult.NO_MEMORY ? Refusal.NO_MEMORY : Refusal.NONE;
    }

    private AcceleratorMemory.BeginResult setRole(String newRole) {
        role = newRole;
        return AcceleratorMemory.BeginResult.ALREADY_DONE;
    }

    private void completeOrder(EngineOrder order) {
        boolean load =
                order.kind() == EngineOrder.Kind.LOAD_MODEL
                        || order.kind() == EngineOrder.Kind.LOAD_ADAPTER;
        if (load) {
            completeLoad(order);
        } else {
            completeUnload(order);
        }
    }

    private void completeLoad(EngineOrder order) {
        String name = order.adapter() == null ? order.model() : order.adapter();
        boolean loaded = weightSource.fetch(name, order.version(), order.mebibytes());
        gate.awaitOpen();
        synchronized (memory) {
            memory.endLoad(order, loaded);
            orderTracker.recordOutcome(
                    order.orderId(),
                    loaded ? OrderTracker.Outcome.DONE : OrderTracker.Outcome.REFUSED);
        }
    }

    private void completeUnload(EngineOrder order) {
        batchRunner.awaitUnused(order.model(), UNUSED_WAIT_LIMIT_MILLIS);
        FixedDelayWeightSource.of(unloadMillis).fetch(order.model(), "", 0);
        gate.awaitOpen();
        synchronized (memory) {
            memory.endUnload(order);
            orderTracker.recordOutcome(order.orderId(), OrderTracker.Outcome.DONE);
        }
    }
}
