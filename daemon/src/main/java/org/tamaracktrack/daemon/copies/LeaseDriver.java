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

/** Keeps one lease up to date with the store. On the control thread. */
final class LeaseDriver {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.lease");
    private static final long TICK_MILLIS = 100;

    /** Who does not hold the lease looks this often whether its holder still renews it. */
    private static final long WATCH_MILLIS = 700;

    /**
     * The same while the holder passes its records on: longer than the pause between two of them
     * and the time that a slow store takes for one.
     */
    private static final long RELAYED_WATCH_MILLIS = 900;

    /** The term of the first holder ever. */
    private static final long FIRST_TERM = 0;

    /** The era of a store that never came back from a copy. */
    private static final long FIRST_ERA = 1;

    /**
     * Far more records than a store loses that comes back from a copy, so that a term of one era
     * exceeds all of the era before; small enough for engines that keep the number in 32 bits.
     */
    private static final long TERMS_PER_ERA = 1_000_000;

    private final TopicClient topics;
    private final TopicPart part;
    private final ControlThread control;
    private final ConditionalLease lease;
    private final RecordRelay relay;
    private final FreezeDetector freezes =
            FreezeDetector.of(ControlThread.nowMillis(), System.currentTimeMillis());
    private boolean calling;
    private boolean eraKnown;
    private long nextWatchMillis;
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
        topics.era().addRestoreListener(() -> control.post(driver::restored));
        control.post(() -> relay.onRecords(part, driver.new Relayed()));
        control.every(TICK_MILLIS, driver::tick);
        return driver;
    }

    /**
     * The right to give orders, for a while. Safe for use by any thread.
     *
     * @param term the fencing number
     * @param untilMillis the monotonic time at which it ends
     * @param clockDifference time of day less steady clock when it was given
     * @param first whether nobody gave orders before
     */
    record Permit(long term, long untilMillis, long clockDifference, boolean first) {

        // Asked right before the first byte of an order leaves: the process may have been frozen
        // since the decision, and then another holder may have begun.
        boolean valid() {
            long steadyMillis = ControlThread.nowMillis();
            return steadyMillis < untilMillis
                    && !FreezeDetector.apart(
                            clockDifference, steadyMillis, System.currentTimeMillis());
        }
    }

    /** The right to give orders now; empty when another process may have it. */
    Optional<Permit> permit() {
        noticeFreeze();
        long steadyMillis = ControlThread.nowMillis();
        OptionalLong term = lease.term(steadyMillis);
        return term.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        new Permit(
                                fencingNumber(term.getAsLong()),
                                lease.trustedUntilMillis(),
                                System.currentTimeMillis() - steadyMillis,
                                term.getAsLong() == FIRST_TERM && topics.era().restores() == 0));
    }

    boolean holds() {
        noticeFreeze();
        return lease.holds(ControlThread.nowMillis());
    }

    private void restored() {
        LOG.warn("event=lease-void held=" + held);
        lease.restored(ControlThread.nowMillis());
        nextWatchMillis = 0;
    }

    // Offsets, and terms with them, are given out a second time after the store came back from a
    // copy. With the era before it each term exceeds all that engines have seen.
    private long fencingNumber(long term) {
        return topics.era().newest() * TERMS_PER_ERA + term;
    }

    private void noticeFreeze() {
        if (freezes.froze(ControlThread.nowMillis(), System.currentTimeMillis())) {
            LOG.warn("event=clock-jump lease_held=" + held);
            lease.distrust();
        }
    }

    /** The holder's records, passed on as it appends them. */
    private final class Relayed implements RecordRelay.Reader {
        // Whoever reads a record later than it was appended waits longer before it claims, so it
        // is safe to learn of it by any way; what is missing before it has to be read.
        @Override
        public void onBatch(RecordBatch batch, long wholeAtMillis) {
            if (lease.mustRead() || batch.from() != lease.readFrom()) {
                return;
            }
            long nowMillis = ControlThread.nowMillis();
            batch.records().stream()
                    .flatMap(record -> DutyRecords.lease(record).stream())
                    .forEach(content -> lease.read(batch.from(), content, nowMillis));
            nextWatchMillis = nowMillis + RELAYED_WATCH_MILLIS;
        }

        @Override
        public void onLost() {
            nextWatchMillis = ControlThread.nowMillis();
        }
    }

    private void tick() {
        noticeFreeze();
        noteChange();
        relay.holder(lease.holds(ControlThread.nowMillis()), lease.otherHolder());
        if (calling) {
            return;
        }
        long nowMillis = ControlThread.nowMillis();
        if (lease.mustRead() || !lease.holds(nowMillis) && nowMillis >= nextWatchMillis) {
            read();
            return;
        }
        lease.tick(nowMillis).ifPresent(this::append);
    }

    private void noteChange() {
        boolean holds = lease.holds(ControlThread.nowMillis());
        if (holds != held) {
            held = holds;
            LOG.info("event=lease held=" + holds + " log_end=" + lease.readFrom());
        }
    }

    private void read() {
        calling = true;
        nextWatchMillis = ControlThread.nowMillis() + WATCH_MILLIS;
        topics.read(part, lease.readFrom(), 0)
                .thenAccept(answer -> control.post(() -> readDone(answer)));
    }

    private void readDone(TopicAnswer<RecordBatch> answer) {
        calling = false;
        long nowMillis = ControlThread.nowMillis();
        if (answer instanceof TopicAnswer.Expired<RecordBatch> expired) {
            lease.skipped(expired.first(), nowMillis);
        } else if (answer instanceof TopicAnswer.Done<RecordBatch> done) {
            noticeEarlierRestore();
            take(done.value(), nowMillis);
        }
        // Any other answer: the store is away, nobody can claim; the next tick reads again.
        leaving.ifPresent(this::release);
    }

    // A process that starts after the store came back from a copy can't tell how long ago that was.
    // Somebody may hold by a record that is gone.
    private void noticeEarlierRestore() {
        if (!eraKnown && topics.era().newest() > FIRST_ERA) {
            lease.restored(ControlThread.nowMillis());
        }
        eraKnown = true;
    }

    private void take(RecordBatch batch, long nowMillis) {
        long offset = batch.from();
        for (byte[] record : batch.records()) {
            long at = offset++;
            DutyRecords.lease(record).ifPresent(content -> lease.read(at, content, nowMillis));
        }
        if (batch.nextOffset() >= batch.end()) {
            lease.readAll(nowMillis);
        } else {
            read();
        }
    }

    private void append(ConditionalLease.Append append) {
        calling = true;
        List<byte[]> record = List.of(DutyRecords.encode(append.content()));
        topics.append(part, record, OptionalLong.of(append.expectedEnd()))
                .thenAccept(answer -> control.post(() -> appended(answer, record)));
    }

    private void appended(TopicAnswer<Long> answer, List<byte[]> record) {
        calling = false;
        if (answer instanceof TopicAnswer.Done<Long> done) {
            lease.appended(done.value(), ControlThread.nowMillis());
            relay.publish(part, new RecordBatch(done.value(), record, done.value() + 1));
        } else if (answer instanceof TopicAnswer.Conflict<Long>) {
            lease.conflict();
        } else if (answer instanceof TopicAnswer.Unknown<Long>) {
            lease.unanswered();
        } else {
            lease.refused();
        }
        noteChange();
        leaving.ifPresent(this::release);
    }

    /**
     * Gives the lease up, so that another daemon need not wait for it to lapse.
     *
     * @return completed when that is written, or there is nothing to write
     */
    CompletableFuture<Void> leave() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        leaving = Optional.of(done);
        release(done);
        return done;
    }

    // A renewal or a read may be on its way. The release written before its answer would expect the
    // log to end where it no longer does and be refused, and the next holder would wait for the
    // lease to lapse; so it follows the answer.
    private void release(CompletableFuture<Void> done) {
        if (calling) {
            return;
        }
        Optional<ConditionalLease.Append> release = lease.leave(ControlThread.nowMillis());
        if (release.isPresent()) {
            append(release.get());
        } else {
            done.complete(null);
        }
    }
}
