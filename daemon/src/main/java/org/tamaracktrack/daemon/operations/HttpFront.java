package org.tamaracktrack.daemon.operations;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import java.util.Objects;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** The HTTP server of a daemon, with its limits against slow and half-open callers. */
public final class HttpFront implements AutoCloseable {
    private static final int REQUEST_HEAD_MILLIS = 10_000;
    private static final int IDLE_CONNECTION_MILLIS = 60_000;
    private static final int MAXIMUM_HEADER_BYTES = 16_384;
    private static final int MAXIMUM_HEADERS = 64;
    private static final int MAXIMUM_PARAMETERS = 64;
    private static final int SPARE_CONNECTIONS = 64;
    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 2;

    private final Undertow server;

    private HttpFront(Undertow server) {
        this.server = server;
    }

    /**
     * Starts a server.
     *
     * @param address where to listen; port 0 for any free one
     * @param maximumConnections how many connections get an answer other than a refusal
     * @param handler serves the requests
     * @return the running server
     */
    public static HttpFront start(
            InetSocketAddress address, int maximumConnections, HttpHandler handler) {
        return start(
                Undertow.builder().setIoThreads(IO_THREADS).setWorkerThreads(WORKER_THREADS),
                address,
                maximumConnections,
                handler);
    }

    /**
     * Starts a server on the threads of another part of the program.
     *
     * @param worker the threads; not stopped when the server is closed
     * @param address where to listen; port 0 for any free one
     * @param maximumConnections how many connections get an answer other than a refusal
     * @param handler serves the requests
     * @return the running server
     */
    public static HttpFront sharing(
            XnioWorker worker,
            InetSocketAddress address,
            int maximumConnections,
            HttpHandler handler) {
        Objects.requireNonNull(worker, "worker is null");
        return start(Undertow.builder().setWorker(worker), address, maximumConnections, handler);
    }

    private static HttpFront start(
            Undertow.Builder builder,
            InetSocketAddress address,
            int maximumConnections,
            HttpHandler handler) {
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(handler, "handler is null");
        // A flood of connections would use up memory and file descriptors, and callers who already
        // have one would suffer. Beyond this mark accepting stops and the kernel's backlog bounds
        // the rest; connections that never send a request are closed by the two time limits.
        int highWater = maximumConnections + SPARE_CONNECTIONS;
        Undertow server =
                builder.addHttpListener(address.getPort(), address.getAddress().getHostAddress())
                        .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_HEAD_MILLIS)
                        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_CONNECTION_MILLIS)
                        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAXIMUM_HEADER_BYTES)
                        .setServerOption(UndertowOptions.MAX_HEADERS, MAXIMUM_HEADERS)
                        .setServerOption(UndertowOptions.MAX_PARAMETERS, MAXIMUM_PARAMETERS)
                        .setSocketOption(Options.CONNECTION_HIGH_WATER, highWater)
                        .setSocketOption(Options.CONNECTION_LOW_WATER, highWater - 1)
                        .setSocketOption(Options.TCP_NODELAY, true)
                        .setHandler(handler)
                        .build();
        server.start();
        return new HttpFront(server);
    }

    /**
     * Returns the address in use.
     *
     * @return IP number and port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    }

    @Override
    public void close() {
        server.stop();
    }
}
