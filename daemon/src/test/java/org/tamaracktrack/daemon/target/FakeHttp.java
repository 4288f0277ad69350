package org.tamaracktrack.daemon.target;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.OrderId;
import org.tamaracktrack.core.target.EngineInventory;
import org.tamaracktrack.core.target.EngineOrder;
import org.tamaracktrack.core.target.OrderKind;
import org.tamaracktrack.link.codec.Codecs;
import org.tamaracktrack.link.http.HttpCall;
import org.tamaracktrack.link.http.HttpCallException;
import org.tamaracktrack.link.http.HttpCaller;
import org.tamaracktrack.link.http.HttpFailure;
import org.tamaracktrack.link.http.HttpListener;
import org.tamaracktrack.link.http.HttpResponse;
import org.tamaracktrack.link.http.HttpStream;

/** An HTTP client to a fake engine: orders take effect immediately, the test sets the answers. */
final class FakeHttp implements HttpCaller {
    private static final AcceleratorId ACCELERATOR = AcceleratorId.of("a0");
    private static final long CAPACITY = 1_000;
    private static final long LIMIT_SECONDS = 10;

    private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();
    private final List<EngineInventory.ModelState> models = new ArrayList<>();
    private final List<EngineInventory.OrderState> orders = new ArrayList<>();
    private long highestFencing;
    private final List<Runnable> heldConnections = new CopyOnWriteArrayList<>();
    private final CountDownLatch connectionHeld = new CountDownLatch(1);
    private volatile boolean reachable = true;
    private volatile boolean holdingConnections;

    /** A request that reached the engine; the test controls its answer. */
    static final class Call implements HttpStream {
        private final HttpCall request;
        private final HttpListener listener;
        private final CountDownLatch pausedLatch = new CountDownLatch(1);
        private volatile boolean paused;
        private volatile boolean cancelled;

        private Call(HttpCall request, HttpListener listener) {
            this.request = request;
            this.listener = listener;
        }

        HttpCall request() {
            return request;
        }

        boolean isPaused() {
            return paused;
        }

        /** Waits until the call has been paused; returns false if that does not happen in time. */
        boolean awaitPaused() throws InterruptedException {
            return pausedLatch.await(LIMIT_SECONDS, TimeUnit.SECONDS);
        }

        boolean isCancelled() {
            return cancelled;
        }

        Call head(int status, String contentType) {
            listener.onHead(status, Map.of("content-type", contentType));
            return this;
        }

        Call bytes(String text) {
            listener.onBytes(text.getBytes(StandardCharsets.UTF_8));
            return this;
        }

        void end() {
            listener.onEnd();
        }

        void fail(HttpFailure failure) {
            listener.onFailure(failure);
        }

        @Override
        public void pause() {
            paused = true;
            pausedLatch.countDown();
        }

        @Override
        public void resume() {
            paused = false;
        }

        @Override
        public void cancel() {
            if (!cancelled) {
                cancelled = true;
                listener.onFailure(HttpFailure.CANCELLED);
            }
        }
    }

    void reachable(boolean newReachable) {
        reachable = newReachable;
    }

    /** Waits for the next request to the engine or service. */
    Call nextCall() {
        try {
            Call call = calls.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
            if (call == null) {
                throw TamaracktrackException.of(
                        ErrorCode.INTERNAL, "no request reached the engine or service in time");
            }
            return call;
        } catch (InterruptedException interrupted) {
            throw TamaracktrackException.of(
                    ErrorCode.INTERNAL, "interrupted while waiting for a request", interrupted);
        }
    }

    boolean hasNoCalls() {
        return calls.isEmpty();
    }

    @Override
    public HttpStream stream(HttpCall request, BooleanSupplier maySend, HttpListener listener) {
        Call call = new Call(request, listener);
        if (holdingConnections) {
            heldConnections.add(() -> open(call, maySend));
            connectionHeld.countDown();
        } else {
            open(call, maySend);
        }
        return call;
    }

    private void open(Call call, BooleanSupplier maySend) {
        if (!reachable || !maySend.getAsBoolean()) {
            call.listener.onFailure(HttpFailure.NOT_SENT);
        } else {
            calls.add(call);
        }
    }

    /**
     * Delays new connections until {@link #releaseConnections()}, as if the process were suspended
     * before it connects.
     */
    void holdConnections() {
        holdingConnections = true;
    }

    /** Waits until a connection is held; returns false if that does not happen in time. */
    boolean awaitHeldConnection() throws InterruptedException {
        return connectionHeld.await(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    void releaseConnections() {
        holdingConnections = false;
        heldConnections.forEach(Runnable::run);
        heldConnections.clear();
    }

    @Override
    public synchronized HttpResponse call(HttpCall request) {
        if (!reachable) {
            throw HttpCallException.of(HttpFailure.NOT_SENT, "unreachable");
        }
        if (request.path().equals("/admin/orders")) {
            apply(Codecs.decode(Codecs.json(), request.body(), EngineOrder.class));
            return new HttpResponse(202, Map.of(), new byte[0]);
        }
        return new HttpResponse(200, Map.of(), Codecs.encode(Codecs.json(), inventory()));
    }

    private void apply(EngineOrder order) {
        highestFencing = Math.max(highestFencing, order.fencing());
        orders.add(new EngineInventory.OrderState(order.orderId(), EngineInventory.Outcome.DONE));
        if (order.kind() == OrderKind.LOAD_MODEL) {
            models.add(
                    new EngineInventory.ModelState(
                            order.model().orElseThrow(),
                            order.version().orElseThrow(),
                            order.accelerator().orElseThrow(),
                            order.mebibytes(),
                            EngineInventory.Residence.READY,
                            List.of()));
        } else if (order.kind() == OrderKind.UNLOAD_MODEL) {
            models.removeIf(copy -> copy.model().equals(order.model().orElseThrow()));
        }
    }

    private EngineInventory inventory() {
        long used = models.stream().mapToLong(EngineInventory.ModelState::totalMebibytes).sum();
        return new EngineInventory(
                highestFencing,
                "serve",
                List.of(new EngineInventory.AcceleratorState(ACCELERATOR, CAPACITY, used)),
                models,
                orders);
    }

    synchronized List<OrderId> orders() {
        return orders.stream().map(EngineInventory.OrderState::orderId).toList();
    }

    @Override
    public CompletableFuture<Boolean> answersConnections(
            InetSocketAddress address, long limitMillis) {
        return CompletableFuture.completedFuture(true);
    }

    @Override
    public CompletableFuture<Boolean> refusesConnections(
            InetSocketAddress address, long limitMillis) {
        return CompletableFuture.completedFuture(false);
    }

    @Override
    public void limitConnections(InetSocketAddress address, int maximumConnections) {}

    @Override
    public void close() {
        reachable = false;
    }
}
