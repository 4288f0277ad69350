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
 * The daemons that hear of this one what it reads of the store, and what is under way to them. On
 * the control thread, but where it says otherwise.
 */
final class Followers {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.relay");

    private final RelayLimits limits;
    private final StoreEra era;
    private final Map<Connection, Follower> byConnection = new HashMap<>();
    private final AtomicLong notPassedOn = new AtomicLong();
    private RelayBudget budget;

    private Followers(RelayLimits limits, StoreEra era) {
        this.limits = limits;
        this.era = era;
        this.budget = RelayBudget.of(limits, ControlThread.nowMillis());
    }

    static Followers of(RelayLimits limits, StoreEra era) {
        return new Followers(limits, era);
    }

    /** How many batches were told of without their records; for any thread. */
    long notPassedOn() {
        return notPassedOn.get();
    }

    /** Notes what a daemon's clock shows; true when nothing was heard of that daemon before. */
    boolean read(Connection from, Message.ClockReading reading) {
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

    /** Sends a batch whatever its size. */
    void send(TopicPart part, RecordBatch batch, long wholeAtMillis) {
        Outgoing outgoing = new Outgoing(part, batch, wholeAtMillis);
        List.copyOf(byConnection.values()).forEach(follower -> send(follower, outgoing));
    }

    /**
     * Sends a batch that can be read of the store as well. A follower for which there is no room
     * hears only that there is something to read.
     */
    void sendIfRoom(TopicPart part, RecordBatch batch, long wholeAtMillis) {
        Outgoing whole = new Outgoing(part, batch, wholeAtMillis);
        budget = budget.at(ControlThread.nowMillis());
        boolean fits = budget.fits(whole.bytes(), byConnection.size());
        long mostWaiting = limits.bytesWaiting(byConnection.size()) - whole.bytes();
        Map<Boolean, List<Follower>> byRoom =
                byConnection.values().stream()
                        .collect(
                                Collectors.partitioningBy(
                                        follower ->
                                                batch.records().isEmpty()
                                                        || fits
                                                                && follower.waiting()
                                                                        <= mostWaiting));
        byRoom.get(true).forEach(follower -> send(follower, whole));
        byRoom.get(false).forEach(follower -> send(follower, whole.notice()));
        noteNotPassedOn(whole, byRoom.get(false).size());
    }

    private void noteNotPassedOn(Outgoing whole, int without) {
        if (without > 0) {
            notPassedOn.addAndGet(without);
            LOG.info(
                    "event=records-not-passed-on part="
                            + whole.part()
                            + " bytes="
                            + whole.bytes()
                            + " followers="
                            + without);
        }
    }

    private void send(Follower follower, Outgoing outgoing) {
        if (follower.connection().send(follower.message(outgoing, era.newest()))) {
            budget = budget.at(ControlThread.nowMillis()).with(outgoing.bytes());
        } else {
            // One that takes nothing any more is closed; it reads the store instead.
            byConnection.remove(follower.connection());
            follower.connection().close();
        }
    }

    /** A batch on its way to every follower. */
    private record Outgoing(TopicPart part, RecordBatch batch, long wholeAtMillis) {
        /** All but the records, with what the network adds, in bytes. */
        private static final long FRAME_BYTES = 200;

        /** What a record's length takes, in bytes. */
        private static final long RECORD_HEADER_BYTES = 5;

        private long bytes() {
            return FRAME_BYTES
                    + batch.records().stream()
                            .mapToLong(record -> RECORD_HEADER_BYTES + record.length)
                            .sum();
        }

        /** Says up to where there are records, and nothing of when they are whole. */
        private Outgoing notice() {
            return new Outgoing(
                    part,
                    new RecordBatch(batch.nextOffset(), List.of(), batch.end()),
                    Message.Records.UNKNOWN_MILLIS);
        }
    }

    /**
     * Another daemon, and what its clock showed when it was last heard of.
     *
     * <p>A batch may be long on its way, and a holder that was frozen passes on what it read long
     * ago. Counted from its arrival, the age of a batch would be unknown to who relies on it; the
     * time by the receiver's own clock makes delays on either way only count as age.
     */
    private record Follower(Connection connection, long clockMillis, long heardAtMillis) {
        private long waiting() {
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
                    clockMillis + outgoing.wholeAtMillis() - heardAtMillis,
                    era);
        }
    }
}
