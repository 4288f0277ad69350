package org.tamaracktrack.link.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** A pool of idle connections by server address. A connection carries one call at a time. */
final class ConnectionPool {
    private static final int MAXIMUM_IDLE = 64;

    /** The assumed keep-alive time of servers that don't state one. */
    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 10_000;

    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final UndertowClient client;
    private final GuardedConnects connects;
    private final ByteBufferPool buffers;
    private final Map<InetSocketAddress, Deque<IdleConnection>> idle = new ConcurrentHashMap<>();
    private final Map<InetSocketAddress, AtomicInteger> open = new ConcurrentHashMap<>();

    private final Map<ClientConnection, BoundedAnswerConduit> guards = new ConcurrentHashMap<>();
    private final Map<ClientConnection, AtomicInteger> counted = new ConcurrentHashMap<>();
    private final Map<XnioIoThread, ReadTurns> readTurns = new ConcurrentHashMap<>();
    private final LingeringCloses lingering = LingeringCloses.empty();

    private record IdleConnection(
            ClientConnection connection, long idleSinceNanos, long keepAliveMillis) {}

    private ConnectionPool(
            UndertowClient client, GuardedConnects connects, ByteBufferPool buffers) {
        this.client = client;
        this.connects = connects;
        this.buffers = buffers;
    }

    static ConnectionPool of(
            UndertowClient client, XnioWorker worker, ByteBufferPool buffers, AnswerBounds bounds) {
        return new ConnectionPool(client, GuardedConnects.of(worker, bounds), buffers);
    }

    /** Returns the guard of a connection; empty if the connection is closed. */
    Optional<BoundedAnswerConduit> guard(ClientConnection connection) {
        return Optional.ofNullable(guards.get(connection));
    }

    /** Returns the turns in which long answers are read on a thread. */
    ReadTurns readTurns(XnioIoThread thread) {
        return readTurns.computeIfAbsent(thread, ReadTurns::of);
    }

    /**
     * Removes and returns an idle connection that is still open and has been idle for less than the
     * given time.
     */
    Optional<ClientConnection> take(InetSocketAddress address, long idleMillis) {
        Deque<IdleConnection> connections = idle.get(address);
        while (connections != null) {
            IdleConnection candidate = connections.pollFirst();
            if (candidate == null) {
                return Optional.empty();
            }
            // A server may close a connection that has been idle for a long time just as a call is
            // sent on it. The call then fails with an unknown outcome although the server never
            // executed it. Connections that were idle for a short time are far below the idle limit
            // of any server.
            long idleForMillis =
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - candidate.idleSinceNanos());
            if (idleForMillis >= candidate.keepAliveMillis() || !candidate.connection().isOpen()) {
                IoUtils.safeClose(candidate.connection());
            } else if (idleForMillis < idleMillis) {
                return Optional.of(candidate.connection());
            } else {
                // The most recently used connection has been idle too long for this call, but not
                // for others.
                connections.addFirst(candidate);
                return Optional.empty();
            }
        }
        return Optional.empty();
    }

    /** Opens a connection; idle ones make room for it if there are too many. */
    void open(
            InetSocketAddress address,
            int maxConnections,
            ClientCallback<ClientConnection> callback) {
        AtomicInteger count = open.computeIfAbsent(address, key -> new AtomicInteger());
        closeIdle(address, count.get() + 1 - maxConnections);
        client.connect(counting(count, callback), uri(address), connects, buffers, OPTIONS);
    }

    private static URI uri(InetSocketAddress address) {
        String host = address.getHostString();
        return URI.create(
                "http://"
                        + (host.indexOf(':') < 0 ? host : "[" + host + "]")
                        + ":"
                        + address.getPort());
    }

    private ClientCallback<ClientConnection> counting(
            AtomicInteger count, ClientCallback<ClientConnection> callback) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientConnection opened) {
                count.incrementAndGet();
                counted.put(opened, count);
                connects.opening().ifPresent(guard -> guards.put(opened, guard));
                opened.addCloseListener(closed -> remove(opened));
                callback.completed(opened);
            }

            @Override
            public void failed(IOException failure) {
                callback.failed(failure);
            }
        };
    }

    /**
     * Closes a connection whose call was not answered. It no longer counts towards the maximum.
     *
     * @param connection the connection
     * @param raw the connection without its protocol
     * @param onServerEnd called when the server has ended it
     */
    void linger(ClientConnection connection, StreamConnection raw, Runnable onServerEnd) {
        remove(connection);
        lingering.begin(raw, onServerEnd);
    }

    private void remove(ClientConnection connection) {
        guards.remove(connection);
        Optional.ofNullable(counted.remove(connection)).ifPresent(AtomicInteger::decrementAndGet);
    }

    /** Closes idle connections while there are more connections than a maximum. */
    void limit(InetSocketAddress address, int maxConnections) {
        AtomicInteger count = open.get(address);
        if (count != null) {
            closeIdle(address, count.get() - maxConnections);
        }
    }

    // The connections that were idle for longest are the least likely to be used again.
    private void closeIdle(InetSocketAddress address, int excess) {
        Deque<IdleConnection> connections = idle.get(address);
        for (int count = 0; connections != null && count < excess; count++) {
            IdleConnection oldest = connections.pollLast();
            if (oldest == null) {
                return;
            }
            IoUtils.safeClose(oldest.connection());
        }
    }

    void release(InetSocketAddress address, ClientConnection connection) {
        release(address, connection, DEFAULT_KEEP_ALIVE_MILLIS);
    }

    void release(InetSocketAddress address, ClientConnection connection, long keepAliveMillis) {
        release(address, connection, keepAliveMillis, Integer.MAX_VALUE);
    }

    void release(
            InetSocketAddress address,
            ClientConnection connection,
            long keepAliveMillis,
            int maxConnections) {
        Deque<IdleConnection> connections =
                idle.computeIfAbsent(address, key -> new ConcurrentLinkedDeque<>());
        AtomicInteger count = open.computeIfAbsent(address, key -> new AtomicInteger());
        if (!connection.isOpen()
                || connections.size() >= MAXIMUM_IDLE
                || count.get() > maxConnections) {
            IoUtils.safeClose(connection);
            return;
        }
        connections.addFirst(new IdleConnection(connection, System.nanoTime(), keepAliveMillis));
    }
}
