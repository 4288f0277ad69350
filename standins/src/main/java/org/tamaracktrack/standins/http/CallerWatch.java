package org.tamaracktrack.standins.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that a caller has closed its connection while its answer is being made. Undertow reads
 * nothing from a connection during a request, so a caller that goes away would otherwise be noticed
 * only by the next write, and a whole answer would be made for nobody.
 */
public final class CallerWatch {
    private final StreamSourceConduit source;
    private boolean stopped;

    private CallerWatch(StreamSourceConduit source) {
        this.source = source;
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
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        CallerWatch watch = new CallerWatch(source);
        ByteBuffer unused = ByteBuffer.allocate(1);
        // The conduit of the body is at its end and ignores calls to resume; the one below is not.
        connection
                .getChannel()
                .getSourceChannel()
                .setReadListener(ignored -> watch.read(unused, onGone));
        source.wakeupReads();
        return watch;
    }

    private synchronized void read(ByteBuffer unused, Runnable onGone) {
        // Reads may be resumed for the next request by now, so they are not to be suspended here.
        if (stopped) {
            return;
        }
        try {
            if (source.read(unused) == 0) {
                return;
            }
        } catch (IOException broken) {
            // The same as an orderly close: nobody is there to read the answer.
        }
        stopped = true;
        source.suspendReads();
        onGone.run();
    }

    /** Stops to watch. To be called before the end of the answer is written. */
    public synchronized void stop() {
        stopped = true;
        source.suspendReads();
    }
}
