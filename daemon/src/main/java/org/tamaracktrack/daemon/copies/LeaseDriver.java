package org.tamaracktrack.daemon.copies;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.lease.ConditionalLease;
import org.tamaracktrack.core.lease.FreezeDetector;
import org.tamaracktrack.daemon.relay.RecordRelay;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.topic.RecordBatch;
import org.tamaracktrack.link.topic.TopicAnswer;
import org.tamaracktrack.link.topic.TopicClient;
import org.tamaracktrack.link.topic.TopicPart;

/**
 * Reads and appends the records of one lease in the store. Used on the control thread only, except
 * where stated otherwise.
 */
final class LeaseDriver {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.lease");
    private static final long TICK_MILLIS = 100;

    /** How often a process that does not hold the lease reads whether it was renewed. */
    private static final long READ_INTERVAL_MILLIS = 700;

    /**
     * The read interval while the holder relays its records: longer than the interval between two
     * renewals, with a margin for the time that a slow store takes to append one.
     */
    private static final long RELAYED_READ_INTERVAL_MILLIS = 900;

    /** The term of the first holder in an empty log. */
    private static final long FIRST_TERM = 0;

    /** The era of a store that was never restored from a backup. */
    private static final long FIRST_ERA = 1;

    /**
     * Far more than the records that a store loses when it is restored from a backup, so that each
     * term of an era exceeds all terms of the era before; small enough for engines that store the
     * fencing number in 32 bits.
     */
    private static final long TERMS_PER_ERA = 1_000_000;

    private final TopicClient topics;
    private final TopicPart part;
    private final ControlThread control;
    private final ConditionalLease lease;
    private final RecordRelay relay;
    private final FreezeDetector freezeDetector =
            FreezeDetector.of(ControlThread.nowMillis(), System.currentTimeMillis());
    private boolean callPending;
    private boolean eraKnown;
    private long nextReadMillis;
    private boolean held;
    private Optional<CompletableFuture<Void>> leaving = Optional.empty();

    private LeaseDriver(
            TopicClient topics,
            TopicPart part,
            ControlThread control,
            ConditionalLease lease,
            RecordRelay relay) {
        this.topics = topics;
        this.part = part;
        this.control = control;
        this.lease = lease;
        this.relay = relay;
    }

    static LeaseDriver start(
            TopicClient topics,
            TopicPart part,
            ControlThread control,
            ConditionalLease lease,
            RecordRelay relay) {
        Objects.requireNonNull(lease, "lease is null");
        Objects.requireNonNull(relay, "relay is null");
        LeaseDriver driver = new LeaseDriver(topics, part, control, lease, relay);
        topics.era().addRestoreListener(() -> control.post(driver::handleLogRestored));
        control.post(() -> relay.onRecords(part, driver.new RelayedRecordReader()));
        control.every(TICK_MILLIS, driver::tick);
        return driver;
    }

    /**
     * The right to send orders for a limited time. Safe for use by any thread.
     *
     * @param term the fencing number
     * @param validUntilMillis the monotonic time at which the right ends, in milliseconds
     * @param clockDifference the wall clock time minus the monotonic time when it was granted, in
     *     milliseconds
     * @param firstHolder whether no process has held the lease before
     */
    record Permit(long term, long validUntilMillis, long clockDifference, boolean firstHolder) {

        // Evaluated right before the first byte of an order is sent: the process may have been
        // frozen since the decision, and another process may hold the lease since.
        boolean isValid() {
            long steadyMillis = ControlThread.nowMillis();
            return steadyMillis < validUntilMillis
                    && !FreezeDetector.clocksDiverged(
                            clockDifference, steadyMillis, System.currentTimeMillis());
        }
    }

    /** Returns the right to send orders now; empty when another process may have it. */
    Optional<Permit> permit() {
        detectFreeze();
        long steadyMillis = ControlThread.nowMillis();
        OptionalLong term = lease.term(steadyMillis);
        return term.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        new Permit(
                                fencingNumber(term.getAsLong()),
                                lease.validUntilMillis(),
                                System.currentTimeMillis() - steadyMillis,
                                term.getAsLong() == FIRST_TERM && topics.era().restores() == 0));
    }

    /** Returns how to reach the holder of the lease if it is another process. */
    Optional<ConditionalLease.Contact> otherHolderContact() {
        return lease.otherHolderContact();
    }

    boolean holds() {
        detectFreeze();
        return lease.holds(ControlThread.nowMillis());
    }

    private void handleLogRestored() {
        LOG.warn("event=lease-void held=" + held);
        lease.logRestored(ControlThread.nowMillis());
        nextReadMillis = 0;
    }

    // After a restore the store assigns offsets, and with them terms, a second time. Prefixed with
    // the era, each fencing number exceeds all those that engines have received.
    private long fencingNumber(long term) {
        return topics.era().newest() * TERMS_PER_ERA + term;
    }

    private void detectFreeze() {
        if (freezeDetector.detectFreeze(ControlThread.nowMillis(), System.currentTimeMillis())) {
            LOG.warn("event=clock-jump lease_held=" + held);
            lease.invalidate();
        }
    }

    /** Applies the records that the holder relays as it appends them. */
    private final class RelayedRecordReader implements RecordRelay.Reader {
        // A process that reads a record late waits correspondingly longer before it claims, so a
        // relayed record is safe to use. Records missing before it have to be read from the store.
        @Override
        public void onBatch(RecordBatch batch, long wholeAtMillis) {
            if (lease.mustRead() || batch.from() != lease.readFrom()) {
                return;
            }
            long nowMillis = ControlThread.nowMillis();
            batch.records().stream()
                    .flatMap(record -> DutyRecords.decodeLease(record).stream())
                    .forEach(content -> lease.read(batch.from(), content, nowMillis));
            nextReadMillis = nowMillis + RELAYED_READ_INTERVAL_MILLIS;
        }

        @Override
        public void onLost() {
            nextReadMillis = ControlThread.nowMillis();
        }
    }

    private void tick() {
        detectFreeze();
        logHeldChange();
        relay.updateHolder(lease.holds(ControlThread.nowMillis()), lease.otherHolderContact());
        if (callPending) {
            return;
        }
        long nowMillis = ControlThread.nowMillis();
        if (lease.mustRead() || !lease.holds(nowMillis) && nowMillis >= nextReadMillis) {
            read();
            return;
        }
        lease.tick(nowMillis).ifPresent(this::append);
    }

    private void logHeldChange() {
        boolean holds = lease.holds(ControlThread.nowMillis());
        if (holds != held) {
            held = holds;
            LOG.info("event=lease held=" + holds + " log_end=" + lease.readFrom());
        }
    }

    private void read() {
        callPending = true;
        nextReadMillis = ControlThread.nowMillis() + READ_INTERVAL_MILLIS;
        topics.read(part, lease.readFrom(), 0)
                .thenAccept(answer -> control.post(() -> handleReadAnswer(answer)));
    }

    private void handleReadAnswer(TopicAnswer<RecordBatch> answer) {
        callPending = false;
        long nowMillis = ControlThread.nowMillis();
        if (answer instanceof TopicAnswer.Expired<RecordBatch> expired) {
            lease.recordsExpired(expired.first(), nowMillis);
        } else if (answer instanceof TopicAnswer.Done<RecordBatch> done) {
            detectEarlierRestore();
            handleBatch(done.value(), nowMillis);
        }
        // With any other answer the store is unavailable and nobody can claim; a later tick reads.
        leaving.ifPresent(this::release);
    }

    // A process that starts after a restore of the store can't tell how long ago the restore was.
    // Another process may hold the lease by a record that was lost.
    private void detectEarlierRestore() {
        if (!eraKnown && topics.era().newest() > FIRST_ERA) {
            lease.logRestored(ControlThread.nowMillis());
        }
        eraKnown = true;
    }

    private void handleBatch(RecordBatch batch, long nowMillis) {
        long offset = batch.from();
        for (byte[] record : batch.records()) {
            long recordOffset = offset++;
            DutyRecords.decodeLease(record)
                    .ifPresent(content -> lease.read(recordOffset, content, nowMillis));
        }
        if (batch.nextOffset() >= batch.end()) {
            lease.caughtUp(nowMillis);
        } else {
            read();
        }
    }

    private void append(ConditionalLease.Append append) {
        callPending = true;
        List<byte[]> records = List.of(DutyRecords.encode(append.content()));
        topics.append(part, records, OptionalLong.of(append.expectedEnd()))
                .thenAccept(answer -> control.post(() -> handleAppendAnswer(answer, records)));
    }

    private void handleAppendAnswer(TopicAnswer<Long> answer, List<byte[]> records) {
        callPending = false;
        if (answer instanceof TopicAnswer.Done<Long> done) {
            lease.appended(done.value(), ControlThread.nowMillis());
            relay.publish(part, new RecordBatch(done.value(), records, done.value() + 1));
        } else if (answer instanceof TopicAnswer.Conflict<Long>) {
            lease.appendConflicted();
        } else if (answer instanceof TopicAnswer.Unknown<Long>) {
            lease.appendUnanswered();
        } else {
            lease.appendRejected();
        }
        logHeldChange();
        leaving.ifPresent(this::release);
    }

    /**
     * Releases the lease, so that another daemon does not have to wait until it expires.
     *
     * @return a future that completes when the release is written, or nothing has to be written
     */
    CompletableFuture<Void> leave() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        leaving = Optional.of(done);
        release(done);
        return done;
    }

    // A renewal or a read may be pending. A release sent before its answer would expect an outdated
    // end of the log and be rejected, and the next holder would have to wait until the lease
    // expires; so the release is sent after the answer.
    private void release(CompletableFuture<Void> done) {
        if (callPending) {
            return;
        }
        Optional<ConditionalLease.Append> release = lease.release(ControlThread.nowMillis());
        if (release.isPresent()) {
            append(release.get());
        } else {
            done.complete(null);
        }
    }
}
