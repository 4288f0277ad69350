package org.tamaracktrack.daemon.target;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.target.EngineInventory;
import org.tamaracktrack.core.target.HostTime;
import org.tamaracktrack.core.target.OrderAction;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.codec.Codecs;
import org.tamaracktrack.link.http.HttpCall;
import org.tamaracktrack.link.http.HttpCallException;
import org.tamaracktrack.link.http.HttpCaller;
import org.tamaracktrack.link.http.HttpFailure;
import org.tamaracktrack.link.http.HttpResponse;

/**
 * Reads an engine's inventory and sends it orders. Inventory reads and orders each have a thread of
 * their own.
 */
final class EngineClient implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(EngineClient.class);
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final int OK = 200;

    private final HttpCaller http;
    private final ScheduledExecutorService inventories = singleDaemonThread("engine-inventory");
    private final ScheduledExecutorService orders = singleDaemonThread("engine-orders");

    private EngineClient(HttpCaller http) {
        this.http = http;
    }

    static EngineClient of(HttpCaller http) {
        Objects.requireNonNull(http, "http is null");
        return new EngineClient(http);
    }

    private static ScheduledExecutorService singleDaemonThread(String name) {
        return Executors.newSingleThreadScheduledExecutor(
                task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                });
    }

    static HostTime now() {
        return HostTime.of(ControlThread.nowMillis(), System.currentTimeMillis());
    }

    /** An inventory and a time immediately before it was requested. */
    record InventoryReading(EngineInventory inventory, HostTime requestedAt) {}

    /** Reads the inventory after a delay and calls one of the two callbacks. */
    void readInventory(
            InetSocketAddress address,
            long delayMillis,
            Consumer<InventoryReading> onRead,
            Runnable onFailure) {
        if (inventories.isShutdown()) {
            return;
        }
        inventories.schedule(
                () -> readNow(address, onRead, onFailure), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void readNow(
            InetSocketAddress address, Consumer<InventoryReading> onRead, Runnable onFailure) {
        HostTime requestedAt = now();
        try {
            HttpResponse answer =
                    http.call(HttpCall.get(address, "/admin/inventory", TIMEOUT_MILLIS));
            if (answer.status() == OK) {
                onRead.accept(
                        new InventoryReading(
                                Codecs.decode(Codecs.json(), answer.body(), EngineInventory.class),
                                requestedAt));
                return;
            }
            LOG.debugf("event=inventory-refused status=%d", answer.status());
        } catch (HttpCallException | TamaracktrackException failure) {
            LOG.debugf("event=inventory-unreadable cause=%s", failure.getMessage());
        }
        onFailure.run();
    }

    /** Sends an order once. Its outcome is read from the inventory, not from the answer. */
    void send(InetSocketAddress address, OrderAction.Send send, Runnable onNotSent) {
        if (!orders.isShutdown()) {
            orders.execute(() -> sendNow(address, send, onNotSent));
        }
    }

    private void sendNow(InetSocketAddress address, OrderAction.Send send, Runnable onNotSent) {
        byte[] body = Codecs.encode(Codecs.json(), send.order());
        // The process may have been suspended since the order was decided, and another process may
        // own the target by now. An order that is too old is therefore not sent.
        if (!send.isTimely(now())) {
            onNotSent.run();
            return;
        }
        try {
            HttpResponse answer =
                    http.call(HttpCall.post(address, "/admin/orders", body, TIMEOUT_MILLIS));
            LOG.debugf("event=order-answered status=%d", answer.status());
        } catch (HttpCallException failure) {
            if (failure.failure() == HttpFailure.NOT_SENT) {
                onNotSent.run();
            }
        }
    }

    @Override
    public void close() {
        inventories.shutdownNow();
        orders.shutdownNow();
    }
}
