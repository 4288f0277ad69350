package org.tamaracktrack.link.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One call: opens or takes a connection, sends, reads. Its state belongs to one thread. */
final class Exchange implements HttpStream {
    /** A thread that is this late with a time limit is late with what it reads too. */
    private static final long LATE_MILLIS = 50;

    private final HttpCall call;
    private final BooleanSupplier maySend;
    private final HttpListener listener;
    private final ConnectionPool pool;
    private final XnioIoThread firstThread;
    private final ByteBufferPool buffers;
    private volatile XnioIoThread thread;
    private Optional<ClientConnection> connection = Optional.empty();
    private Optional<StreamSourceChannel> source = Optional.empty();
    private Optional<XnioExecutor.Key> timer = Optional.empty();
    private HttpFailure failureNow = HttpFailure.NOT_SENT;
    private volatile boolean ended;
    private boolean kept;
    private boolean wholeSent;
    private long keptMillis;
    private volatile boolean paused;

    private Exchange(
            HttpCall call,
            BooleanSupplier maySend,
            HttpListener listener,
            ConnectionPool pool,
            XnioIoThread firstThread,
            ByteBufferPool buffers) {
        this.call = call;
        this.maySend = maySend;
        this.listener = listener;
        this.pool = pool;
        this.firstThread = firstThread;
        this.thread = firstThread;
        this.buffers = buffers;
    }

    static Exchange start(
            HttpCall call,
            BooleanSupplier maySend,
            HttpListener listener,
            ConnectionPool pool,
            XnioIoThread ioThread,
            ByteBufferPool buffers) {
        Exchange exchange = new Exchange(call, maySend, listener, pool, ioThread, buffers);
        exchange.connect();
        return exchange;
    }

    private void connect() {
        Optional<ClientConnection> idle = pool.take(call.address(), call.limits().idleMillis());
        if (idle.isPresent()) {
            kept = true;
            adopt(idle.get());
            return;
        }
        pool.open(
                call.address(),
                new ClientCallback<>() {
                    @Override
                    public void completed(ClientConnection opened) {
                        adopt(opened);
                    }

                    @Override
                    public void failed(IOException failure) {
                        firstThread.execute(() -> fail(HttpFailure.NOT_SENT));
                    }
                });
        // The connection attempt has no time limit of its own.
        limitConnecting(call.limits().connectMillis(), true);
    }

    private void limitConnecting(long millis, boolean mayLookAgain) {
        long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        firstThread.executeAfter(
                () -> {
                    if (connection.isPresent()) {
                        return;
                    }
                    if (mayLookAgain && late(System.nanoTime() - dueNanos)) {
                        limitConnecting(LATE_MILLIS, false);
                    } else {
                        fail(HttpFailure.NOT_SENT);
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    // One that was kept before may be closed by its server at any moment; given back now it would
    // count as young.
    private void giveBackUnused(ClientConnection opened) {
        if (kept) {
            IoUtils.safeClose(opened);
        } else {
            pool.giveBack(call.address(), opened);
        }
    }

    private void adopt(ClientConnection opened) {
        thread = opened.getIoThread();
        if (Thread.currentThread() == thread) {
            send(opened);
        } else {
            thread.execute(() -> send(opened));
        }
    }

    private void send(ClientConnection opened) {
        if (ended) {
            giveBackUnused(opened);
            return;
        }
        // A process may be frozen between the decision to call and this moment. Sent after its
        // time, an order would act on memory that a successor has given away, and a request that
        // its caller was told had not run would run.
        if (!maySend.getAsBoolean()) {
            giveBackUnused(opened);
            fail(HttpFailure.NOT_SENT);
            return;
        }
        connection = Optional.of(opened);
        limit(call.timeoutMillis(), this::timeIsUp);
        // From here on bytes may reach the server, so the call is no longer "not sent".
        failureNow = HttpFailure.NO_ANSWER;
        opened.sendRequest(request(), callback(this::sendBody));
    }

    private void limit(long millis, LongConsumer whenOver) {
        long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        timer =
                Optional.of(
                        thread.executeAfter(
                                () -> whenOver.accept(System.nanoTime() - dueNanos),
                                millis,
                                TimeUnit.MILLISECONDS));
    }

    // A thread that was held up comes to its timers before its sockets. Given up at once, an answer
    // that has long been here would count as none, and the server as away.
    private void timeIsUp(long lateNanos) {
        if (late(lateNanos)) {
            limit(LATE_MILLIS, evenLater -> fail(HttpFailure.TIMED_OUT));
        } else {
            fail(HttpFailure.TIMED_OUT);
        }
    }

    private static boolean late(long lateNanos) {
        return TimeUnit.NANOSECONDS.toMillis(lateNanos) > LATE_MILLIS;
    }

    private ClientRequest request() {
        ClientRequest request =
                new ClientRequest().setMethod(new HttpString(call.method())).setPath(call.path());
        HeaderMap headers = request.getRequestHeaders();
        call.headers().forEach((name, value) -> headers.put(new HttpString(name), value));
        if (!headers.contains(Headers.HOST)) {
            headers.put(
                    Headers.HOST, call.address().getHostString() + ":" + call.address().getPort());
        }
        headers.put(Headers.CONTENT_LENGTH, call.body().length);
        return request;
    }

    private ClientCallback<ClientExchange> callback(Consumer<ClientExchange> action) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange result) {
                action.accept(result);
            }

            @Override
            public void failed(IOException failure) {
                fail(failureNow);
            }
        };
    }

    private void sendBody(ClientExchange exchange) {
        exchange.setResponseListener(callback(this::receiveHead));
        StreamSinkChannel sink = exchange.getRequestChannel();
        write(sink, ByteBuffer.wrap(call.body()));
    }

    private void write(StreamSinkChannel sink, ByteBuffer body) {
        try {
            while (body.hasRemaining()) {
                if (sink.write(body) == 0) {
                    sink.getWriteSetter().set(channel -> writeOn(sink, body));
                    sink.resumeWrites();
                    return;
                }
            }
            sink.shutdownWrites();
            if (sink.flush()) {
                wholeSent = true;
                return;
            }
            sink.getWriteSetter()
                    .set(
                            ChannelListeners.flushingChannelListener(
                                    (ChannelListener<StreamSinkChannel>)
                                            flushed -> wholeSent = true,
                                    null));
            sink.resumeWrites();
        } catch (IOException failure) {
            fail(failureNow);
        }
    }

    // A server takes a request whose body is long in coming when the last of it arrives.
    private void writeOn(StreamSinkChannel sink, ByteBuffer body) {
        if (maySend.getAsBoolean()) {
            write(sink, body);
        } else {
            fail(failureNow);
        }
    }

    private void receiveHead(ClientExchange exchange) {
        if (ended) {
            return;
        }
        failureNow = HttpFailure.ANSWER_CUT;
        ClientResponse response = exchange.getResponse();
        keptMillis = KeepAlive.millis(response.getResponseHeaders());
        listener.onHead(response.getResponseCode(), headers(response));
        StreamSourceChannel channel = exchange.getResponseChannel();
        source = Optional.of(channel);
        channel.getReadSetter().set(ignored -> read(channel));
        if (!paused) {
            read(channel);
            if (!ended && !paused) {
                channel.resumeReads();
            }
        }
    }

    private static Map<String, String> headers(ClientResponse response) {
        Map<String, String> headers = new LinkedHashMap<>();
        response.getResponseHeaders()
                .forEach(
                        values ->
                                headers.put(
                                        values.getHeaderName().toString().toLowerCase(Locale.ROOT),
                                        values.getFirst()));
        return headers;
    }

    private void read(StreamSourceChannel channel) {
        try (PooledByteBuffer pooled = buffers.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!ended && !paused) {
                buffer.clear();
                int count = channel.read(buffer);
                if (count < 0) {
                    complete();
                    return;
                }
                if (count == 0) {
                    return;
                }
                buffer.flip();
                byte[] bytes = new byte[buffer.remaining()];
                buffer.get(bytes);
                listener.onBytes(bytes);
            }
        } catch (IOException failure) {
            fail(failureNow);
        }
    }

    private void complete() {
        if (end()) {
            connection.ifPresent(this::release);
            listener.onEnd();
        }
    }

    // A server may answer before it has read the whole body and read on later. Used again, the
    // connection would carry the next request where the rest of this one's body is due.
    private void release(ClientConnection open) {
        if (wholeSent && keptMillis > 0) {
            pool.giveBack(call.address(), open, keptMillis);
        } else {
            IoUtils.safeClose(open);
        }
    }

    private void fail(HttpFailure failure) {
        if (end()) {
            connection.ifPresent(Exchange::reset);
            listener.onFailure(failure);
        }
    }

    // Closed in order, Undertow's connection first waits for the answer of a request under way, and
    // the server runs it for nobody. Taken out of Undertow's hands, the connection can be reset,
    // which the server notices at once.
    private static void reset(ClientConnection open) {
        try {
            StreamConnection raw = open.performUpgrade();
            raw.setOption(Options.CLOSE_ABORT, true);
            IoUtils.safeClose(raw);
        } catch (IOException closed) {
            IoUtils.safeClose(open);
        }
    }

    private synchronized boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        timer.ifPresent(XnioExecutor.Key::remove);
        return true;
    }

    @Override
    public void pause() {
        // Set at once, not on the exchange's thread: that thread may be inside the read loop, which
        // would go on reading a fast server's answer into memory before it came to the task.
        paused = true;
        thread.execute(
                () -> {
                    if (!paused) {
                        return;
                    }
                    source.filter(channel -> !ended).ifPresent(StreamSourceChannel::suspendReads);
                });
    }

    @Override
    public void resume() {
        paused = false;
        thread.execute(
                () -> {
                    if (paused) {
                        return;
                    }
                    source.filter(channel -> !ended).ifPresent(StreamSourceChannel::wakeupReads);
                });
    }

    @Override
    public void cancel() {
        thread.execute(() -> fail(HttpFailure.CANCELLED));
    }
}
