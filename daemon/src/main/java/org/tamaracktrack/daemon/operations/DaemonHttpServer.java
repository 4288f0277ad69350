package org.tamaracktrack.daemon.operations;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import java.util.Objects;
import org.xnio.Options;
import org.xnio.XnioWorker;

/**
 * The HTTP server of a daemon, with limits against slow callers and connections that stay unused.
 */
public final class DaemonHttpServer implements AutoCloseable {
    private static final int REQUEST_HEAD_TIMEOUT_MILLIS = 10_000;
    private static final int IDLE_CONNECTION_TIMEOUT_MILLIS = 60_000;
    private static final int MAXIMUM_HEADER_BYTES = 16_384;
    private static final int MAXIMUM_HEADERS = 64;
    private static final int MAXIMUM_PARAMETERS = 64;
    private static final int CONNECTIONS_FOR_REFUSALS = 64;
    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 2;

    private final Undertow server;

    private DaemonHttpServer(Undertow server) {
        this.server = server;
    }

    /**
     * Starts a server.
     *
     * @param address the address to listen on; port 0 selects any free port
     * @param maximumConnections how many connections the handler serves; it refuses requests on the
     *     few that are accepted beyond that
     * @param handler handles the requests
     * @return the running server
     */
    public static DaemonHttpServer start(
            InetSocketAddress address, int maximumConnections, HttpHandler handler) {
        return start(
                Undertow.builder().setIoThreads(IO_THREADS).setWorkerThreads(WORKER_THREADS),
                address,
                maximumConnections,
                handler);
    }

    /**
     * Starts a server on the threads of an existing worker.
     *
     * @param worker the worker; not stopped when the server is closed
     * @param address the address to listen on; port 0 selects any free port
     * @param maximumConnections how many connections the handler serves; it refuses requests on the
     *     few that are accepted beyond that
     * @param handler handles the requests
     * @return the running server
     */
    public static DaemonHttpServer sharing(
            XnioWorker worker,
            InetSocketAddress address,
            int maximumConnections,
            HttpHandler handler) {
        Objects.requireNonNull(worker, "worker is null");
        return start(Undertow.builder().setWorker(worker), address, maximumConnections, handler);
    }

    private static DaemonHttpServer start(
            Undertow.Builder builder,
            InetSocketAddress address,
            int maximumConnections,
            HttpHandler handler) {
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(handler, "handler is null");
        // Without a limit, a flood of connections would exhaust memory and file descriptors and
        // affect callers that are already connected. Beyond this high-water mark the server stops
        // accepting, and the kernel's backlog bounds the rest. Connections that never send a
        // request are closed by the two time limits.
        int highWater = maximumConnections + CONNECTIONS_FOR_REFUSALS;
        Undertow server =
                builder.addHttpListener(address.getPort(), address.getAddress().getHostAddress())
                        .setServerOption(
                                UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_HEAD_TIMEOUT_MILLIS)
                        .setServerOption(
                                UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_CONNECTION_TIMEOUT_MILLIS)
                        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAXIMUM_HEADER_BYTES)
                        .setServerOption(UndertowOptions.MAX_HEADERS, MAXIMUM_HEADERS)
                        .setServerOption(UndertowOptions.MAX_PARAMETERS, MAXIMUM_PARAMETERS)
                        .setSocketOption(Options.CONNECTION_HIGH_WATER, highWater)
                        .setSocketOption(Options.CONNECTION_LOW_WATER, highWater - 1)
                        .setSocketOption(Options.TCP_NODELAY, true)
                        .setHandler(handler)
                        .build();
        server.start();
        return new DaemonHttpServer(server);
    }

    /**
     * Returns the address on which the server listens.
     *
     * @return the IP address and port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    }

    @Override
    public void close() {
        server.stop();
    }
}
