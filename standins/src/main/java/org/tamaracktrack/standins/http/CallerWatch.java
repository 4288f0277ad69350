package org.tamaracktrack.standins.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Notices that a caller has closed its connection while its answer is being made. Undertow reads
 * nothing from a connection during a request, so a caller that goes away would otherwise be noticed
 * only by the next write, and a whole answer would be made for nobody.
 */
public final class CallerWatch {
    private final ConduitStreamSourceChannel channel;
    private boolean stopped;

    private CallerWatch(ConduitStreamSourceChannel channel) {
        this.channel = channel;
    }

    /**
     * Starts to watch. To be called when the request's body has been read.
     *
     * @param exchange the call
     * @param onGone runs when the caller has gone
     * @return the watch
     */
    public static CallerWatch start(HttpServerExchange exchange, Runnable onGone) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        ConduitStreamSourceChannel channel = connection.getChannel().getSourceChannel();
        CallerWatch watch = new CallerWatch(channel);
        ByteBuffer unused = ByteBuffer.allocate(1);
        channel.setReadListener(ignored -> watch.read(connection, unused, onGone));
        channel.wakeupReads();
        return watch;
    }

    private synchronized void read(
            HttpServerConnection connection, ByteBuffer unused, Runnable onGone) {
        if (stopped) {
            channel.suspendReads();
            return;
        }
        try {
            if (connection.getOriginalSourceConduit().read(unused) == 0) {
                return;
            }
        } catch (IOException broken) {
            // The same as an orderly close: nobody is there to read the answer.
        }
        stopped = true;
        channel.suspendReads();
        onGone.run();
    }

    /** Stops to watch. To be called before the end of the answer is written. */
    public synchronized void stop() {
        stopped = true;
        channel.suspendReads();
    }
}
