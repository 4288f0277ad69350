package org.tamaracktrack.standins.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a client has closed its connection while its response is being generated. Undertow
 * reads nothing from a connection during a request. A disconnect would otherwise be detected only
 * by the next write, and a complete response would be generated in vain.
 */
public final class DisconnectMonitor {
    private final StreamSourceConduit source;
    private boolean stopped;

    private DisconnectMonitor(StreamSourceConduit source) {
        this.source = source;
    }

    /**
     * Starts a monitor. Call it after the request body has been read.
     *
     * @param exchange the exchange
     * @param onDisconnect runs when the client has disconnected
     * @return the monitor
     */
    public static DisconnectMonitor start(HttpServerExchange exchange, Runnable onDisconnect) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        DisconnectMonitor monitor = new DisconnectMonitor(source);
        ByteBuffer unused = ByteBuffer.allocate(1);
        // The conduit of the request body is at its end and ignores calls to resume reads, so the
        // conduit below it is used.
        connection
                .getChannel()
                .getSourceChannel()
                .setReadListener(ignored -> monitor.read(unused, onDisconnect));
        source.wakeupReads();
        return monitor;
    }

    private synchronized void read(ByteBuffer unused, Runnable onDisconnect) {
        // Reads may already have been resumed for the next request, so don't suspend them here.
        if (stopped) {
            return;
        }
        try {
            if (source.read(unused) == 0) {
                return;
            }
        } catch (IOException failure) {
            // Handled like an orderly close, since the client can't read the response in either
            // case.
        }
        stopped = true;
        source.suspendReads();
        onDisconnect.run();
    }

    /** Stops the monitor. Call it before the end of the response is written. */
    public synchronized void stop() {
        stopped = true;
        source.suspendReads();
    }
}
