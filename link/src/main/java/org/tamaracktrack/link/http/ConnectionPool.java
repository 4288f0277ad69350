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
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final UndertowClient client;
    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final Map<InetSocketAddress, Deque<Idle>> idle = new ConcurrentHashMap<>();

    private record Idle(ClientConnection connection, long sinceNanos) {}

    private ConnectionPool(UndertowClient client, XnioWorker worker, ByteBufferPool buffers) {
        this.client = client;
        this.worker = worker;
        this.buffers = buffers;
    }

    static ConnectionPool of(UndertowClient client, XnioWorker worker, ByteBufferPool buffers) {
        return new ConnectionPool(client, worker, buffers);
    }

    /** Takes an idle connection that is still open and not old. */
    Optional<ClientConnection> take(InetSocketAddress address) {
        Deque<Idle> connections = idle.get(address);
        while (connections != null) {
            Idle candidate = connections.pollFirst();
            if (candidate == null) {
                return Optional.empty();
            }
            // The server may be closing a connection that has been idle for long just as a call is
            // sent on it; the call then fails with its outcome unknown though it never ran. Young
            // connections are far below any server's idle limit.
            boolean young = System.nanoTime() - candidate.sinceNanos() < IDLE_NANOS;
            if (young && candidate.connection().isOpen()) {
                return Optional.of(candidate.connection());
            }
            IoUtils.safeClose(candidate.connection());
        }
        return Optional.empty();
    }

    void open(InetSocketAddress address, ClientCallback<ClientConnection> callback) {
        URI uri = URI.create("http://" + address.getHostString() + ":" + address.getPort());
        client.connect(callback, uri, worker, buffers, OPTIONS);
    }

    void giveBack(InetSocketAddress address, ClientConnection connection) {
        Deque<Idle> connections =
                idle.computeIfAbsent(address, key -> new ConcurrentLinkedDeque<>());
        if (!connection.isOpen() || connections.size() >= MAXIMUM_IDLE) {
            IoUtils.safeClose(connection);
            return;
        }
        connections.addFirst(new Idle(connection, System.nanoTime()));
    }
}
