package org.tamaracktrack.link.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** Connections that are open and idle, by server; each carries one call at a time. */
final class ConnectionPool {
    private static final int MAXIMUM_IDLE = 64;

    /** Servers that do not say how long they keep a connection are taken to keep it this long. */
    private static final long UNSTATED_IDLE_MILLIS = 10_000;

    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final UndertowClient client;
    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final Map<InetSocketAddress, Deque<Idle>> idle = new ConcurrentHashMap<>();

    private record Idle(ClientConnection connection, long sinceNanos, long keptMillis) {}

    private ConnectionPool(UndertowClient client, XnioWorker worker, ByteBufferPool buffers) {
        this.client = client;
        this.worker = worker;
        this.buffers = buffers;
    }

    static ConnectionPool of(UndertowClient client, XnioWorker worker, ByteBufferPool buffers) {
        return new ConnectionPool(client, worker, buffers);
    }

    /** Takes an idle connection that is still open and has not been idle for too long. */
    Optional<ClientConnection> take(InetSocketAddress address, long idleMillis) {
        Deque<Idle> connections = idle.get(address);
        while (connections != null) {
            Idle candidate = connections.pollFirst();
            if (candidate == null) {
                return Optional.empty();
            }
            // The server may be closing a connection that has been idle for long just as a call is
            // sent on it; the call then fails with its outcome unknown though it never ran. Young
            // connections are far below any server's idle limit.
            long idleFor =
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - candidate.sinceNanos());
            if (idleFor >= candidate.keptMillis() || !candidate.connection().isOpen()) {
                IoUtils.safeClose(candidate.connection());
            } else if (idleFor < idleMillis) {
                return Optional.of(candidate.connection());
            } else {
                // The youngest is too old for this call and young enough for others.
                connections.addFirst(candidate);
                return Optional.empty();
            }
        }
        return Optional.empty();
    }

    void open(InetSocketAddress address, ClientCallback<ClientConnection> callback) {
        URI uri = URI.create("http://" + address.getHostString() + ":" + address.getPort());
        client.connect(callback, uri, worker, buffers, OPTIONS);
    }

    void giveBack(InetSocketAddress address, ClientConnection connection) {
        giveBack(address, connection, UNSTATED_IDLE_MILLIS);
    }

    void giveBack(InetSocketAddress address, ClientConnection connection, long keptMillis) {
        Deque<Idle> connections =
                idle.computeIfAbsent(address, key -> new ConcurrentLinkedDeque<>());
        if (!connection.isOpen() || connections.size() >= MAXIMUM_IDLE) {
            IoUtils.safeClose(connection);
            return;
        }
        connections.addFirst(new Idle(connection, System.nanoTime(), keptMillis));
    }
}
