package org.tamaracktrack.link.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Checks the bytes of a connection before Undertow's client parses them, because its parser has no
 * bounds: a header line or a trailer without end fills the heap. Bytes after the end of an answer
 * belong to no request; they are dropped, and the connection is not used again. Used by the
 * connection's thread.
 */
final class BoundedAnswerConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.http");

    private final StreamConnection connection;
    private final AnswerBounds bounds;
    private final AnswerFraming framing;
    private Optional<AnswerRejection> rejection = Optional.empty();
    private Runnable onHeadBegun = () -> {};
    private long headSinceNanos;
    private boolean insideHead;
    private boolean receiving;
    private boolean discarding;
    private boolean surplus;

    private BoundedAnswerConduit(StreamConnection connection, AnswerBounds bounds) {
        super(connection.getSourceChannel().getConduit());
        this.connection = connection;
        this.bounds = bounds;
        this.framing = AnswerFraming.of(bounds);
    }

    /** Installs a guard below whatever reads from a connection. */
    static BoundedAnswerConduit install(StreamConnection connection, AnswerBounds bounds) {
        BoundedAnswerConduit guard = new BoundedAnswerConduit(connection, bounds);
        connection.getSourceChannel().setConduit(guard);
        return guard;
    }

    /**
     * Prepares for the answer to a request.
     *
     * @param answerWithoutBody whether the method's answer has no body, whatever its head states
     * @param whenHeadBegun called when a part of a head has been received, and not all of it
     */
    void begin(boolean answerWithoutBody, Runnable whenHeadBegun) {
        framing.begin(answerWithoutBody);
        receiving = false;
        onHeadBegun = whenHeadBegun;
    }

    /** Releases what was passed for the current request. */
    void end() {
        onHeadBegun = () -> {};
    }

    /**
     * Returns whether a request may be sent: the connection is open and nothing was received since
     * the last answer. Anything received before the request would be taken for its answer.
     */
    boolean isReadyForRequest() {
        if (surplus || rejection.isPresent()) {
            return false;
        }
        try {
            int count = next.read(ByteBuffer.allocate(1));
            if (count > 0) {
                recordSurplus();
            }
            return count == 0;
        } catch (IOException broken) {
            return false;
        }
    }

    /** Returns whether bytes were received after the end of an answer. */
    boolean hasSurplus() {
        return surplus;
    }

    private void recordSurplus() {
        if (!surplus) {
            surplus = true;
            LOG.warn(
                    "event=connection-discarded server="
                            + connection.getPeerAddress(InetSocketAddress.class)
                            + " reason="
                            + AnswerRejection.Reason.SURPLUS_BYTES.text());
        }
    }

    /** Ends the checks, since all further bytes are discarded. */
    void startDiscarding() {
        discarding = true;
    }

    /** Returns why the answer was rejected; empty if it was not. */
    Optional<AnswerRejection> rejection() {
        return rejection;
    }

    /** Returns whether bytes of the answer were received, and the server has not ended them. */
    boolean isReceiving() {
        return receiving;
    }

    /** Rejects the answer and makes the connection's end a reset. */
    void reject(AnswerRejection.Reason reason) {
        if (rejection.isPresent()) {
            return;
        }
        rejection =
                Optional.of(
                        new AnswerRejection(
                                connection.getPeerAddress(InetSocketAddress.class),
                                reason,
                                framing.partBytes()));
        try {
            connection.setOption(Options.CLOSE_ABORT, true);
        } catch (IOException closed) {
            // The connection is closed already, so there is nothing to reset.
            return;
        }
    }

    /** Returns the time in milliseconds that is left for the current head; empty outside a head. */
    Optional<Long> remainingHeadMillis() {
        if (!insideHead) {
            return Optional.empty();
        }
        long pastNanos = System.nanoTime() - headSinceNanos;
        return Optional.of(bounds.headMillis() - TimeUnit.NANOSECONDS.toMillis(pastNanos));
    }

    @Override
    public int read(ByteBuffer destination) throws IOException {
        if (discarding) {
            return next.read(destination);
        }
        if (rejection.isPresent()) {
            throw AnswerRejectedException.of(rejection.get().reason());
        }
        int start = destination.position();
        int count = readUnchecked(destination);
        if (count <= 0) {
            return count;
        }
        int answerEnd = check(destination, start, start + count);
        trackHead();
        if (answerEnd < start + count) {
            recordSurplus();
            destination.position(answerEnd);
        }
        if (answerEnd == start) {
            reject(AnswerRejection.Reason.SURPLUS_BYTES);
            throw AnswerRejectedException.of(AnswerRejection.Reason.SURPLUS_BYTES);
        }
        return answerEnd - start;
    }

    private int check(ByteBuffer destination, int start, int end) throws AnswerRejectedException {
        try {
            return framing.check(destination, start, end);
        } catch (AnswerRejectedException rejected) {
            reject(rejected.reason());
            throw rejected;
        }
    }

    private int readUnchecked(ByteBuffer destination) throws IOException {
        boolean received = receiving;
        receiving = false;
        int count = next.read(destination);
        receiving = count >= 0 && (received || count > 0);
        return count;
    }

    private void trackHead() {
        boolean wasInsideHead = insideHead;
        insideHead = framing.isInsideHead();
        if (insideHead && !wasInsideHead) {
            headSinceNanos = System.nanoTime();
            onHeadBegun.run();
        }
    }

    @Override
    public long read(ByteBuffer[] destinations, int offset, int length) throws IOException {
        for (int index = offset; index < offset + length; index++) {
            if (destinations[index].hasRemaining()) {
                return read(destinations[index]);
            }
        }
        return 0;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target)
            throws IOException {
        return IoUtils.transfer(new ConduitReadableByteChannel(this), count, throughBuffer, target);
    }
}
