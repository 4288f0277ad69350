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
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Executes one call: opens a connection or takes one from the pool, sends the request and reads the
 * response. Its state is meant to be used on a single input/output thread, that of the connection.
 */
final class HttpExchange implements HttpStream {
    /**
     * A timer that fires later than this shows that its thread was delayed and may have unread
     * data.
     */
    private static final long LATE_THRESHOLD_MILLIS = 50;

    private static final String HEAD = "HEAD";

    private final HttpCall call;
    private final BooleanSupplier maySend;
    private final HttpListener listener;
    private final ConnectionPool pool;
    private final XnioIoThread firstThread;
    private final ByteBufferPool buffers;
    private volatile XnioIoThread thread;
    private Optional<ClientConnection> connection = Optional.empty();
    private Optional<BoundedAnswerConduit> guard = Optional.empty();
    private Optional<StreamSourceChannel> source = Optional.empty();
    private Optional<XnioExecutor.Key> timer = Optional.empty();
    private HttpFailure currentFailure = HttpFailure.NOT_SENT;
    private volatile boolean ended;
    private boolean reused;
    private boolean requestSent;
    private long keepAliveMillis;
    private volatile boolean paused;
    private volatile boolean cancelled;
    private boolean notifying;
    private boolean readsInTurns;
    private boolean awaitsTurn;

    private HttpExchange(
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

    static HttpExchange start(
            HttpCall call,
            BooleanSupplier maySend,
            HttpListener listener,
            ConnectionPool pool,
            XnioIoThread ioThread,
            ByteBufferPool buffers) {
        HttpExchange exchange = new HttpExchange(call, maySend, listener, pool, ioThread, buffers);
        exchange.connect();
        return exchange;
    }

    private void connect() {
        Optional<ClientConnection> idle = pool.take(call.address(), call.limits().idleMillis());
        if (idle.isPresent()) {
            reused = true;
            sendOn(idle.get());
            return;
        }
        pool.open(
                call.address(),
                call.limits().maxConnections(),
                new ClientCallback<>() {
                    @Override
                    public void completed(ClientConnection opened) {
                        sendOn(opened);
                    }

                    @Override
                    public void failed(IOException failure) {
                        firstThread.execute(() -> fail(HttpFailure.NOT_SENT));
                    }
                });
        // Undertow's client doesn't limit the time for connecting.
        limitConnectTime(call.limits().connectMillis(), true);
    }

    private void limitConnectTime(long millis, boolean mayExtend) {
        long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        firstThread.executeAfter(
                () -> {
                    if (connection.isPresent()) {
                        return;
                    }
                    if (mayExtend && isLate(System.nanoTime() - dueNanos)) {
                        limitConnectTime(LATE_THRESHOLD_MILLIS, false);
                    } else {
                        fail(HttpFailure.NOT_SENT);
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    // The server may close a reused connection at any time, and returning it to the pool would
    // reset its idle time. So only a new connection is returned.
    private void releaseUnused(ClientConnection opened) {
        if (reused) {
            IoUtils.safeClose(opened);
        } else {
            pool.release(call.address(), opened);
        }
    }

    private void sendOn(ClientConnection opened) {
        thread = opened.getIoThread();
        if (Thread.currentThread() == thread) {
            send(opened);
        } else {
            thread.execute(() -> send(opened));
        }
    }

    private void send(ClientConnection opened) {
        if (ended) {
            releaseUnused(opened);
            return;
        }
        if (reused && !isReadyForRequest(opened)) {
            IoUtils.safeClose(opened);
            reused = false;
            connect();
            return;
        }
        // The process may have been frozen between the decision to call and this moment. If a call
        // were sent after its deadline, an order could use memory that a successor has already
        // assigned to something else, and a request could run although its caller was told that it
        // had not.
        if (!maySend.getAsBoolean()) {
            releaseUnused(opened);
            fail(HttpFailure.NOT_SENT);
            return;
        }
        connection = Optional.of(opened);
        guard = pool.guard(opened);
        guard.ifPresent(
                installed -> installed.begin(HEAD.equals(call.method()), this::limitHeadTime));
        startTimer(call.timeoutMillis(), this::handleTimeout);
        // From here on bytes may reach the server, so a failure no longer counts as NOT_SENT.
        currentFailure = HttpFailure.NO_ANSWER;
        opened.sendRequest(request(), callback(this::sendBody));
    }

    private boolean isReadyForRequest(ClientConnection opened) {
        return pool.guard(opened).map(BoundedAnswerConduit::isReadyForRequest).orElse(false);
    }

    private void startTimer(long millis, LongConsumer onExpired) {
        long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        timer =
                Optional.of(
                        thread.executeAfter(
                                () -> onExpired.accept(System.nanoTime() - dueNanos),
                                millis,
                                TimeUnit.MILLISECONDS));
    }

    // The time is counted from the head's first byte. Without this limit, a server that sends a
    // head a few bytes at a time would hold the request for the whole time of its call.
    private void limitHeadTime() {
        guard.flatMap(BoundedAnswerConduit::remainingHeadMillis)
                .ifPresent(
                        millis ->
                                thread.executeAfter(
                                        this::checkHeadTime,
                                        Math.max(millis, 0) + LATE_THRESHOLD_MILLIS,
                                        TimeUnit.MILLISECONDS));
    }

    private void checkHeadTime() {
        if (ended || currentFailure == HttpFailure.ANSWER_CUT) {
            return;
        }
        guard.filter(
                        installed ->
                                installed
                                        .remainingHeadMillis()
                                        .filter(left -> left <= 0)
                                        .isPresent())
                .ifPresent(installed -> reject(installed, AnswerRejection.Reason.HEAD_TIME));
    }

    private void reject(BoundedAnswerConduit installed, AnswerRejection.Reason reason) {
        installed.reject(reason);
        failBroken(HttpFailure.ANSWER_INVALID);
    }

    // A delayed thread runs its timers before it reads its sockets. If a late timer failed the call
    // at once, a response that arrived in time would be lost and the server would be considered
    // unreachable.
    private void handleTimeout(long lateNanos) {
        if (isLate(lateNanos)) {
            startTimer(LATE_THRESHOLD_MILLIS, ignored -> fail(HttpFailure.TIMED_OUT));
        } else {
            fail(HttpFailure.TIMED_OUT);
        }
    }

    private static boolean isLate(long lateNanos) {
        return TimeUnit.NANOSECONDS.toMillis(lateNanos) > LATE_THRESHOLD_MILLIS;
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
                // Undertow closes the connection when its parser throws, and reports just that.
                if (currentFailure == HttpFailure.NO_ANSWER && !ended) {
                    guard.filter(BoundedAnswerConduit::isReceiving)
                            .ifPresent(
                                    installed ->
                                            installed.reject(AnswerRejection.Reason.MALFORMED));
                }
                failReading();
            }
        };
    }

    private void failReading() {
        boolean rejected = guard.flatMap(BoundedAnswerConduit::rejection).isPresent();
        failBroken(rejected ? HttpFailure.ANSWER_INVALID : currentFailure);
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
                    sink.getWriteSetter().set(channel -> continueWriting(sink, body));
                    sink.resumeWrites();
                    return;
                }
            }
            sink.shutdownWrites();
            if (sink.flush()) {
                requestSent = true;
                return;
            }
            sink.getWriteSetter()
                    .set(
                            ChannelListeners.flushingChannelListener(
                                    (ChannelListener<StreamSinkChannel>)
                                            flushed -> requestSent = true,
                                    null));
            sink.resumeWrites();
        } catch (IOException failure) {
            failBroken(currentFailure);
        }
    }

    // The server executes the request when the last part of its body arrives, so the condition is
    // checked again before each part.
    private void continueWriting(StreamSinkChannel sink, ByteBuffer body) {
        if (maySend.getAsBoolean()) {
            write(sink, body);
        } else {
            fail(currentFailure);
        }
    }

    private void receiveHead(ClientExchange exchange) {
        if (ended) {
            return;
        }
        currentFailure = HttpFailure.ANSWER_CUT;
        ClientResponse response = exchange.getResponse();
        keepAliveMillis = KeepAlive.millis(response.getResponseHeaders());
        notifying = true;
        try {
            listener.onHead(response.getResponseCode(), headers(response));
        } finally {
            notifying = false;
        }
        StreamSourceChannel channel = exchange.getResponseChannel();
        source = Optional.of(channel);
        channel.getReadSetter().set(ignored -> readUnlessAwaitingTurn(channel));
        if (!paused) {
            read(channel);
            if (!ended && !paused && !awaitsTurn) {
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
        int readBytes = 0;
        try (PooledByteBuffer pooled = buffers.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!ended && !paused && !cancelled) {
                if (readBytes >= ReadTurns.TURN_BYTES) {
                    readsInTurns = true;
                    channel.suspendReads();
                    awaitTurn();
                    return;
                }
                buffer.clear();
                int count = readPart(channel, buffer);
                if (count < 0) {
                    complete();
                    return;
                }
                if (count == 0) {
                    readsInTurns = false;
                    return;
                }
                readBytes += count;
                buffer.flip();
                byte[] bytes = new byte[buffer.remaining()];
                buffer.get(bytes);
                notifying = true;
                listener.onBytes(bytes);
            }
        } catch (IOException failure) {
            failReading();
        } finally {
            notifying = false;
        }
    }

    private void readUnlessAwaitingTurn(StreamSourceChannel channel) {
        if (awaitsTurn) {
            channel.suspendReads();
        } else {
            read(channel);
        }
    }

    private void awaitTurn() {
        if (!awaitsTurn) {
            awaitsTurn = true;
            pool.readTurns(thread).await(this::takeTurn);
        }
    }

    private void takeTurn() {
        awaitsTurn = false;
        if (!ended && !paused) {
            source.ifPresent(
                    channel -> {
                        read(channel);
                        if (!ended && !paused && !awaitsTurn) {
                            channel.resumeReads();
                        }
                    });
        }
    }

    // Undertow's parser of trailers throws unchecked exceptions.
    private int readPart(StreamSourceChannel channel, ByteBuffer buffer) throws IOException {
        try {
            return channel.read(buffer);
        } catch (RuntimeException malformed) {
            guard.ifPresent(installed -> installed.reject(AnswerRejection.Reason.MALFORMED));
            throw new IOException(malformed);
        }
    }

    private void complete() {
        if (markEnded()) {
            guard.ifPresent(BoundedAnswerConduit::end);
            connection.ifPresent(this::releaseAfterResponse);
            listener.onEnd();
        }
    }

    // A server may respond before it has read the whole body, and read the rest later. If the
    // connection were reused, the server would take the next request for the rest of this body. So
    // it is reused only if the request was sent completely.
    private void releaseAfterResponse(ClientConnection finished) {
        boolean surplus = guard.filter(BoundedAnswerConduit::hasSurplus).isPresent();
        if (requestSent && keepAliveMillis > 0 && !surplus) {
            pool.release(call.address(), finished, keepAliveMillis, call.limits().maxConnections());
        } else {
            IoUtils.safeClose(finished);
        }
    }

    private void fail(HttpFailure failure) {
        if (markEnded()) {
            connection.ifPresent(opened -> close(opened, LingeringCloses::reset));
            report(failure);
        }
    }

    private void failBroken(HttpFailure failure) {
        boolean unanswered = currentFailure == HttpFailure.NO_ANSWER && !ended;
        fail(failure);
        if (unanswered) {
            listener.onServerEnd();
        }
    }

    private void report(HttpFailure failure) {
        if (failure == HttpFailure.ANSWER_INVALID) {
            guard.flatMap(BoundedAnswerConduit::rejection).ifPresent(listener::onRejected);
        }
        listener.onFailure(failure);
    }

    // A regular close makes Undertow wait for the response of the request in progress, which the
    // server would execute needlessly. After performUpgrade() the raw connection can be closed,
    // which the server notices at once.
    private static void close(ClientConnection client, Consumer<StreamConnection> closing) {
        try {
            closing.accept(client.performUpgrade());
        } catch (IOException closed) {
            IoUtils.safeClose(client);
        }
    }

    private void linger() {
        connection.ifPresent(
                opened -> {
                    guard.ifPresent(BoundedAnswerConduit::startDiscarding);
                    close(opened, raw -> pool.linger(opened, raw, listener::onServerEnd));
                });
    }

    private synchronized boolean markEnded() {
        if (ended) {
            return false;
        }
        ended = true;
        timer.ifPresent(XnioExecutor.Key::remove);
        return true;
    }

    @Override
    public void pause() {
        // Set here and not in the task, because the exchange's thread may be inside the read loop.
        // It would continue to read the response of a fast server into memory before it ran the
        // task.
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
                    if (paused || ended || awaitsTurn) {
                        return;
                    }
                    if (readsInTurns) {
                        awaitTurn();
                    } else {
                        source.ifPresent(StreamSourceChannel::wakeupReads);
                    }
                });
    }

    @Override
    public void cancel() {
        // As with pausing, the read loop of a fast server's answer would delay the task.
        cancelled = true;
        endSoon(() -> connection.ifPresent(opened -> close(opened, LingeringCloses::reset)));
    }

    @Override
    public void abandon() {
        cancelled = true;
        endSoon(this::linger);
    }

    // A late thread runs tasks after it has read its sockets, and the server would work on
    // meanwhile.
    private void endSoon(Runnable closing) {
        if (Thread.currentThread() == thread && !notifying) {
            endCancelled(closing, () -> thread.execute(() -> report(HttpFailure.CANCELLED)));
        } else {
            thread.execute(() -> endCancelled(closing, () -> report(HttpFailure.CANCELLED)));
        }
    }

    private void endCancelled(Runnable closing, Runnable reporting) {
        if (markEnded()) {
            closing.run();
            reporting.run();
        }
    }
}
