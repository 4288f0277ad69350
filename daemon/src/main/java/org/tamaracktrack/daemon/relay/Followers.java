package org.tamaracktrack.daemon.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.frame.Connection;
import org.tamaracktrack.link.topic.RecordBatch;
import org.tamaracktrack.link.topic.StoreEra;
import org.tamaracktrack.link.topic.TopicPart;

/**
 * The daemons to which this daemon relays records, and the bytes in transit to them. Used on the
 * control thread only, except where stated otherwise.
 */
final class Followers {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.relay");

    private final RelayLimits limits;
    private final StoreEra era;
    private final Map<Connection, Follower> byConnection = new HashMap<>();
    private final AtomicLong noticeCount = new AtomicLong();
    private RelayBudget budget;

    private Followers(RelayLimits limits, StoreEra era) {
        this.limits = limits;
        this.era = era;
        this.budget = RelayBudget.of(limits, ControlThread.nowMillis());
    }

    static Followers of(RelayLimits limits, StoreEra era) {
        return new Followers(limits, era);
    }

    /**
     * Returns how many notices were sent instead of batches, counted per follower. May be called by
     * any thread.
     */
    long noticeCount() {
        return noticeCount.get();
    }

    /**
     * Records the clock reading of a daemon, and makes it a follower.
     *
     * @return true if it was not a follower before
     */
    boolean recordClockReading(Connection from, Message.ClockReading reading) {
        Follower follower = new Follower(from, reading.millis(), ControlThread.nowMillis());
        return byConnection.put(from, follower) == null;
    }

    void remove(Connection follower) {
        byConnection.remove(follower);
    }

    void close() {
        Set.copyOf(byConnection.keySet()).forEach(Connection::close);
        byConnection.clear();
    }

    /** Sends a batch of any size to all followers. */
    void send(TopicPart part, RecordBatch batch, long wholeAtMillis) {
        Outgoing outgoing = new Outgoing(part, batch, wholeAtMillis);
        List.copyOf(byConnection.values()).forEach(follower -> send(follower, outgoing));
    }

    /**
     * Sends a batch that can be read from the store as well. A follower for which there is no
     * capacity receives a notice without the records instead.
     */
    void sendWithinLimits(TopicPart part, RecordBatch batch, long wholeAtMillis) {
        Outgoing outgoing = new Outgoing(part, batch, wholeAtMillis);
        budget = budget.advanceTo(ControlThread.nowMillis());
        boolean fits = budget.fits(outgoing.bytes(), byConnection.size());
        long maximumQueuedBytes = limits.maximumQueuedBytes(byConnection.size()) - outgoing.bytes();
        Map<Boolean, List<Follower>> byCapacity =
                byConnection.values().stream()
                        .collect(
                                Collectors.partitioningBy(
                                        follower ->
                                                batch.records().isEmpty()
                                                        || fits
                                                                && follower.queuedBytes()
                                                                        <= maximumQueuedBytes));
        byCapacity.get(true).forEach(follower -> send(follower, outgoing));
        byCapacity.get(false).forEach(follower -> send(follower, outgoing.notice()));
        recordNotices(outgoing, byCapacity.get(false).size());
    }

    private void recordNotices(Outgoing outgoing, int noticeReceivers) {
        if (noticeReceivers > 0) {
            noticeCount.addAndGet(noticeReceivers);
            LOG.info(
                    "event=records-not-passed-on part="
                            + outgoing.part()
                            + " bytes="
                            + outgoing.bytes()
                            + " followers="
                            + noticeReceivers);
        }
    }

    private void send(Follower follower, Outgoing outgoing) {
        if (follower.connection().send(follower.message(outgoing, era.newest()))) {
            budget = budget.advanceTo(ControlThread.nowMillis()).with(outgoing.bytes());
        } else {
            // A follower without a connection reads the store instead.
            byConnection.remove(follower.connection());
            follower.connection().close();
        }
    }

    /** A batch to send to followers. */
    private record Outgoing(TopicPart part, RecordBatch batch, long wholeAtMillis) {
        /** The size of a message without its records, including network headers, in bytes. */
        private static final long FRAME_BYTES = 200;

        /** The size of the length field of a record, in bytes. */
        private static final long RECORD_HEADER_BYTES = 5;

        private long bytes() {
            return FRAME_BYTES
                    + batch.records().stream()
                            .mapToLong(record -> RECORD_HEADER_BYTES + record.length)
                            .sum();
        }

        /**
         * Returns a notice, which contains the end of the records but neither the records nor the
         * time up to which they are complete.
         */
        private Outgoing notice() {
            return new Outgoing(
                    part,
                    new RecordBatch(batch.nextOffset(), List.of(), batch.end()),
                    Message.Records.UNKNOWN_MILLIS);
        }
    }

    /**
     * A daemon that receives records, with its last clock reading.
     *
     * <p>Transmission may take long, and a holder that was frozen relays batches that it read long
     * ago, so the arrival of a batch says nothing about its age. The time of each batch is
     * therefore sent in terms of the receiver's clock: transmission delays in either direction only
     * make the batch appear older.
     *
     * @param connection the connection to the daemon
     * @param clockMillis the steady clock of the daemon when it sent the reading, in milliseconds
     * @param receivedAtMillis the steady clock of this process when it received the reading
     */
    private record Follower(Connection connection, long clockMillis, long receivedAtMillis) {
        private long queuedBytes() {
            return connection.queuedBytes();
        }

        private Message.Records message(Outgoing outgoing, long era) {
            RecordBatch batch = outgoing.batch();
            return new Message.Records(
                    outgoing.part().topic(),
                    outgoing.part().part(),
                    batch.from(),
                    batch.records(),
                    batch.end(),
                    clockMillis + outgoing.wholeAtMillis() - receivedAtMillis,
                    era);
        }
    }
}
