package org.tamaracktrack.link.http;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** Makes HTTP calls over pooled connections. Safe for use by several threads. */
public interface HttpCaller extends AutoCloseable {

    /**
     * Makes a call and blocks until the whole response has arrived. Must not be called on an
     * input/output thread.
     *
     * @param call the call
     * @return the response, with any status
     * @throws HttpCallException if the call fails, with the stage at which it failed
     */
    HttpResponse call(HttpCall call);

    /**
     * Makes a call without waiting for the response.
     *
     * @param call the call
     * @return the whole response, with any status; fails with an {@link HttpCallException}. It is
     *     completed on an input/output thread
     */
    default CompletableFuture<HttpResponse> send(HttpCall call) {
        return send(call, () -> true);
    }

    /**
     * Makes a call without waiting for the response, unless the call is no longer allowed when it
     * is about to be sent.
     *
     * @param call the call
     * @param maySend evaluated right before the first byte is sent; if false, nothing is sent; see
     *     {@link #stream(HttpCall, BooleanSupplier, HttpListener)}
     * @return the whole response, with any status; fails with an {@link HttpCallException}
     */
    default CompletableFuture<HttpResponse> send(HttpCall call, BooleanSupplier maySend) {
        ResponseCollector collector =
                ResponseCollector.of(call.address(), AnswerMemory.ofProcess());
        collector.attach(stream(call, maySend, collector));
        return collector.response();
    }

    /**
     * Makes a call and streams the response.
     *
     * @param call the call
     * @param listener receives the response or the failure
     * @return the call in progress
     */
    default HttpStream stream(HttpCall call, HttpListener listener) {
        return stream(call, () -> true, listener);
    }

    /**
     * Makes a call and streams the response, unless the call is no longer allowed when it is about
     * to be sent.
     *
     * @param call the call
     * @param maySend evaluated right before the first byte is sent; if false, nothing is sent and
     *     the call fails with {@code NOT_SENT}. It is evaluated again before each further part of a
     *     body that can't be sent at once; if false, the connection is reset and the call fails
     *     with {@code NO_ANSWER}, or with {@code ANSWER_CUT} if a response has begun
     * @param listener receives the response or the failure
     * @return the call in progress
     */
    HttpStream stream(HttpCall call, BooleanSupplier maySend, HttpListener listener);

    /**
     * Tries to open a connection. If it opens, it is added to the pool for later calls.
     *
     * @param address the IP address and port of the server
     * @param limitMillis how long to wait for the result, in milliseconds
     * @return true if the server's host refused the connection because no process listens there;
     *     false otherwise, also if there was no result in time
     */
    CompletableFuture<Boolean> refusesConnections(InetSocketAddress address, long limitMillis);

    /**
     * Tries to open a connection, and closes it if it opens.
     *
     * @param address the IP address and port of the server
     * @param limitMillis how long to wait for the result, in milliseconds
     * @return true if the server's host accepted or refused the connection in time
     */
    CompletableFuture<Boolean> answersConnections(InetSocketAddress address, long limitMillis);

    /**
     * Closes idle connections to a server while there are more connections to it than a maximum.
     *
     * @param address the IP address and port of the server
     * @param maximumConnections the maximum number, idle and in use
     */
    void limitConnections(InetSocketAddress address, int maximumConnections);

    /** Closes every connection and stops the threads. */
    @Override
    void close();
}
