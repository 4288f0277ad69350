package org.tamaracktrack.link.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicInteger;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Closes one direction of connections and waits until the server closes the other or begins to
 * answer. A connection that is reset at once doesn't show whether the server has read what was sent
 * on it. Of bounded number.
 */
final class LingeringCloses {
    private static final int MAXIMUM = 512;
    private static final int BUFFER_BYTES = 4 * 1_024;

    /** A server that has sent more does not answer a request. */
    private static final int MAXIMUM_DISCARDED_BYTES = 64 * 1_024;

    private final AtomicInteger pending = new AtomicInteger();

    private LingeringCloses() {}

    static LingeringCloses empty() {
        return new LingeringCloses();
    }

    /**
     * Begins to close a connection, on its thread.
     *
     * @param connection the connection
     * @param onServerEnd called when the server has ended it; never when too many connections are
     *     waited for already
     */
    void begin(StreamConnection connection, Runnable onServerEnd) {
        if (pending.incrementAndGet() > MAXIMUM) {
            pending.decrementAndGet();
            reset(connection);
        } else {
            new LingeringClose(connection, onServerEnd).begin();
        }
    }

    static void reset(StreamConnection connection) {
        try {
            connection.setOption(Options.CLOSE_ABORT, true);
        } catch (IOException closed) {
            // Closed already, so there is nothing to reset.
        }
        IoUtils.safeClose(connection);
    }

    private final class LingeringClose {
        private final StreamConnection connection;
        private final Runnable onServerEnd;
        private final ByteBuffer discarded = ByteBuffer.allocate(BUFFER_BYTES);
        private boolean ended;

        private LingeringClose(StreamConnection connection, Runnable onServerEnd) {
            this.connection = connection;
            this.onServerEnd = onServerEnd;
        }

        private void begin() {
            ConduitStreamSourceChannel source = connection.getSourceChannel();
            try {
                closeOutput(connection.getSinkChannel());
                if (hasServerEnded(source)) {
                    end();
                } else {
                    source.getReadSetter().set(this::handleReadable);
                    source.resumeReads();
                }
            } catch (IOException broken) {
                end();
            }
        }

        // What was received before may belong to an earlier answer, so it is discarded.
        private boolean hasServerEnded(ConduitStreamSourceChannel source) throws IOException {
            int total = 0;
            int count = source.read(discarded.clear());
            while (count > 0 && total < MAXIMUM_DISCARDED_BYTES) {
                total += count;
                count = source.read(discarded.clear());
            }
            return count != 0;
        }

        // Data that comes after the close shows that the server works on the request. It stops when
        // the connection is reset.
        private void handleReadable(ConduitStreamSourceChannel source) {
            try {
                if (source.read(discarded.clear()) != 0) {
                    end();
                }
            } catch (IOException broken) {
                end();
            }
        }

        private void end() {
            if (!ended) {
                ended = true;
                pending.decrementAndGet();
                reset(connection);
                onServerEnd.run();
            }
        }
    }

    private static void closeOutput(ConduitStreamSinkChannel sink) throws IOException {
        sink.shutdownWrites();
        if (!sink.flush()) {
            sink.getWriteSetter().set(ChannelListeners.flushingChannelListener(null, null));
            sink.resumeWrites();
        }
    }
}
