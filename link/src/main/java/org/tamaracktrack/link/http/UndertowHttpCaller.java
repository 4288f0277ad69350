package org.tamaracktrack.link.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Makes HTTP calls with Undertow's client. */
public final class UndertowHttpCaller implements HttpCaller {
    private static final int IO_THREADS = 2;
    private static final int BUFFER_BYTES = 16 * 1024;

    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final ConnectionPool pool;

    private final boolean ownsResources;

    private UndertowHttpCaller(
            XnioWorker worker, ByteBufferPool buffers, boolean ownsResources, AnswerBounds bounds) {
        this.worker = worker;
        this.buffers = buffers;
        this.ownsResources = ownsResources;
        this.pool = ConnectionPool.of(UndertowClient.getInstance(), worker, buffers, bounds);
    }

    /**
     * Starts a caller with threads and buffers of its own.
     *
     * @return the caller
     * @throws TamaracktrackException with {@code INTERNAL} if the threads can't be started
     */
    public static UndertowHttpCaller of() {
        return of(AnswerBounds.standard());
    }

    static UndertowHttpCaller of(AnswerBounds bounds) {
        try {
            OptionMap options =
                    OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, IO_THREADS)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.WORKER_NAME, "http")
                            .set(Options.THREAD_DAEMON, true)
                            .getMap();
            return new UndertowHttpCaller(
                    Xnio.getInstance().createWorker(options),
                    new DefaultByteBufferPool(false, BUFFER_BYTES),
                    true,
                    bounds);
        } catch (IOException failure) {
            throw TamaracktrackException.of(ErrorCode.INTERNAL, "can't start XNIO", failure);
        }
    }

    /**
     * Returns a caller that uses an existing worker and buffer pool. Closing the caller closes
     * neither.
     *
     * @param worker the worker
     * @param buffers the buffer pool
     * @return the caller
     */
    public static UndertowHttpCaller sharing(XnioWorker worker, ByteBufferPool buffers) {
        return new UndertowHttpCaller(worker, buffers, false, AnswerBounds.standard());
    }

    @Override
    public HttpResponse call(HttpCall call) {
        try {
            return send(call).get();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw HttpCallException.of(HttpFailure.CANCELLED, "interrupted");
        } catch (ExecutionException failure) {
            if (failure.getCause() instanceof HttpCallException cause) {
                throw HttpCallException.of(cause.failure(), describe(call, cause));
            }
            throw TamaracktrackException.of(ErrorCode.INTERNAL, describe(call, failure), failure);
        }
    }

    private static String describe(HttpCall call, Exception failure) {
        return call.method() + " " + call.address() + ": " + failure.getMessage();
    }

    @Override
    public HttpStream stream(HttpCall call, BooleanSupplier maySend, HttpListener listener) {
        Objects.requireNonNull(call, "call is null");
        Objects.requireNonNull(maySend, "maySend is null");
        Objects.requireNonNull(listener, "listener is null");
        return HttpExchange.start(call, maySend, listener, pool, worker.getIoThread(), buffers);
    }

    @Override
    public CompletableFuture<Boolean> refusesConnections(
            InetSocketAddress address, long limitMillis) {
        return tryConnect(address, limitMillis, opened -> pool.release(address, opened))
                .thenApply(ConnectOutcome.REFUSED::equals);
    }

    @Override
    public CompletableFuture<Boolean> answersConnections(
            InetSocketAddress address, long limitMillis) {
        return tryConnect(address, limitMillis, IoUtils::safeClose)
                .thenApply(outcome -> outcome != ConnectOutcome.UNANSWERED);
    }

    @Override
    public void limitConnections(InetSocketAddress address, int maximumConnections) {
        pool.limit(address, maximumConnections);
    }

    private enum ConnectOutcome {
        OPENED,
        REFUSED,
        UNANSWERED
    }

    private CompletableFuture<ConnectOutcome> tryConnect(
            InetSocketAddress address, long limitMillis, Consumer<ClientConnection> whenOpened) {
        CompletableFuture<ConnectOutcome> outcome = new CompletableFuture<>();
        pool.open(
                address,
                Integer.MAX_VALUE,
                new ClientCallback<>() {
                    @Override
                    public void completed(ClientConnection opened) {
                        whenOpened.accept(opened);
                        outcome.complete(ConnectOutcome.OPENED);
                    }

                    @Override
                    public void failed(IOException failure) {
                        outcome.complete(
                                failure instanceof ConnectException
                                        ? ConnectOutcome.REFUSED
                                        : ConnectOutcome.UNANSWERED);
                    }
                });
        return outcome.completeOnTimeout(
                ConnectOutcome.UNANSWERED, limitMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        if (ownsResources) {
            worker.shutdownNow();
            buffers.close();
        }
    }
}
