package org.tamaracktrack.link.http;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** Makes HTTP calls. Safe for use by several threads. Connections are kept and used again. */
public interface HttpCaller extends AutoCloseable {

    /**
     * Makes a call and waits for the whole answer. Not for an input/output thread.
     *
     * @param call the call
     * @return the answer, whatever its status
     * @throws HttpCallException when the call fails, with how far it got
     */
    HttpResponse call(HttpCall call);

    /**
     * Makes a call without waiting for the answer.
     *
     * @param call the call
     * @return the whole answer, whatever its status; fails with an {@link HttpCallException}. It is
     *     completed on an input/output thread
     */
    default CompletableFuture<HttpResponse> send(HttpCall call) {
        return send(call, () -> true);
    }

    /**
     * Makes a call without waiting for the answer, unless its time has passed by the moment of
     * sending.
     *
     * @param call the call
     * @param maySend asked right before the first byte is sent; on false nothing is sent; see
     *     {@link #stream(HttpCall, BooleanSupplier, HttpListener)}
     * @return the whole answer, whatever its status; fails with an {@link HttpCallException}
     */
    default CompletableFuture<HttpResponse> send(HttpCall call, BooleanSupplier maySend) {
        AnswerCollector collector = new AnswerCollector();
        stream(call, maySend, collector);
        return collector.answer();
    }

    /**
     * Makes a call and streams the answer.
     *
     * @param call the call
     * @param listener hears of the answer
     * @return the call under way
     */
    default HttpStream stream(HttpCall call, HttpListener listener) {
        return stream(call, () -> true, listener);
    }

    /**
     * Makes a call and streams the answer, unless its time has passed by the moment of sending.
     *
     * @param call the call
     * @param maySend asked right before the first byte is sent; on false nothing is sent and the
     *     listener hears {@code NOT_SENT}. Asked again before each further part of a body that
     *     can't be sent at once; on false the connection is reset and the listener hears {@code
     *     NO_ANSWER}, or {@code ANSWER_CUT} once an answer has begun
     * @param listener hears of the answer
     * @return the call under way
     */
    HttpStream stream(HttpCall call, BooleanSupplier maySend, HttpListener listener);

    /**
     * Tries to open a connection. One that opens is kept for later calls.
     *
     * @param address the server
     * @param limitMillis how long to wait for an answer
     * @return true when the server's host answered that nobody listens there; false also when
     *     nothing answered in time
     */
    CompletableFuture<Boolean> refusesConnections(InetSocketAddress address, long limitMillis);

    /**
     * Tries to open a connection, and closes it.
     *
     * @param address the server
     * @param limitMillis how long to wait for an answer
     * @return true when the server's host answered in time, whether anybody listens there or not
     */
    CompletableFuture<Boolean> answersConnections(InetSocketAddress address, long limitMillis);

    /** Closes every connection and stops the threads. */
    @Override
    void close();
}
