package org.tamaracktrack.standins.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.BlockingHandler;
import java.net.InetSocketAddress;
import java.util.Objects;
import org.tamaracktrack.standins.StandIn;

/** An HTTP server that exposes both interfaces of a stand-in on 127.0.0.1. */
public final class StandInServer implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 400;
    private static final long MAXIMUM_BODY_BYTES = 16L * 1024 * 1024;

    private final Undertow server;

    private StandInServer(Undertow server) {
        this.server = server;
    }

    /**
     * Starts a server.
     *
     * @param standIn the stand-in
     * @param port the port of the emulated system, or 0 for any
     * @param controlPort the port of the control interface, or 0 for any
     * @return the running server
     */
    public static StandInServer start(StandIn standIn, int port, int controlPort) {
        Objects.requireNonNull(standIn, "standIn is null");
        Undertow server =
                Undertow.builder()
                        .setIoThreads(IO_THREADS)
                        .setWorkerThreads(WORKER_THREADS)
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAXIMUM_BODY_BYTES)
                        .addHttpListener(port, LOOPBACK, blocking(standIn.serviceHandler()))
                        .addHttpListener(controlPort, LOOPBACK, blocking(standIn.controlHandler()))
                        .build();
        server.start();
        return new StandInServer(server);
    }

    private static HttpHandler blocking(HttpHandler handler) {
        return new BlockingHandler(
                exchange -> {
                    try {
                        handler.handleRequest(exchange);
                    } catch (HttpErrorException failure) {
                        HttpExchanges.sendError(exchange, failure.status(), failure.code());
                    }
                });
    }

    /**
     * Returns the port of the emulated system.
     *
     * @return the port
     */
    public int port() {
        return portOf(0);
    }

    /**
     * Returns the port of the control interface.
     *
     * @return the port
     */
    public int controlPort() {
        return portOf(1);
    }

    private int portOf(int listener) {
        return ((InetSocketAddress) server.getListenerInfo().get(listener).getAddress()).getPort();
    }

    @Override
    public void close() {
        server.stop();
    }
}
