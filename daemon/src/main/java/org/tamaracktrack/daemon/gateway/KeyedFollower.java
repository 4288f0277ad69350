package org.tamaracktrack.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.knowledge.DualTimestamp;
import org.tamaracktrack.core.knowledge.StalenessBound;
import org.tamaracktrack.core.knowledge.StoreFreshness;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.daemon.relay.RecordRelay;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.topic.KeyedRecord;
import org.tamaracktrack.link.topic.NewestPage;
import org.tamaracktrack.link.topic.RecordBatch;
import org.tamaracktrack.link.topic.TopicAnswer;
import org.tamaracktrack.link.topic.TopicClient;
import org.tamaracktrack.link.topic.TopicPart;

/**
 * Follows a partition that keeps the newest record of each key: first a listing, then the records
 * that follow, and a new listing when records expired before they were read. The lease holder
 * relays the records that it reads. The follower reads the store itself when the holder is silent
 * or has relayed only a part. Used on the control thread.
 */
public final class KeyedFollower implements FreshnessSource {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.topics");

    /**
     * How long a read of the lease holder waits. Each read, even without records, tells the other
     * daemons that they are up to date.
     */
    private static final long HOLDER_WAIT_MILLIS = 900;

    /** The interval between checks of the information's age. */
    private static final long STALENESS_CHECK_INTERVAL_MILLIS = 100;

    private static final long NOT_LISTED = -1;

    private final TopicClient topics;
    private final TopicPart part;
    private final ControlThread control;
    private final Listener listener;
    private final ReadTiming timing;
    private final RecordRelay relay;
    private final StalenessPolicy stalenessPolicy;
    private final StoreAvailability availability;
    private final AtomicBoolean refreshing = new AtomicBoolean();
    private final List<KeyedRecord> listing = new ArrayList<>();
    private long nextOffset = NOT_LISTED;
    private long listingEndOffset;
    private PendingRead currentRead = PendingRead.alreadyFinished();
    private DualTimestamp firstPageStartedAt = currentRead.startedAt();
    private boolean relayBecameSilent;
    private boolean readPending;
    private boolean checkScheduled;
    private long generation;
    private long relayedNextOffset;

    /**
     * The time up to which the relayed records are complete; reset when the connection to the
     * holder is lost.
     */
    private long relayedCompleteAtMillis = Long.MIN_VALUE / 2;

    /** As above, but kept when the connection to the holder is lost. */
    private long holderCompleteAtMillis = Long.MIN_VALUE / 2;

    private boolean reliesOnHolder;

    /** Receives records and the store's availability, on the control thread. */
    public interface Listener {
        /**
         * Called with the newest records of all keys.
         *
         * @param records the records
         */
        void onListing(List<KeyedRecord> records);

        /**
         * Called with records in the order in which they were written.
         *
         * @param records the records
         */
        void onRecords(List<KeyedRecord> records);

        /** Called when the store has become unavailable. */
        void onStoreUnavailable();

        /**
         * Called when the store is available again, and once more when an earlier time of its
         * return becomes known.
         *
         * @param availableAtMillis a time at which the store was available again, by the monotonic
         *     clock
         */
        void onStoreAvailable(long availableAtMillis);

        /**
         * Called when every record written before a time has been delivered.
         *
         * @param completeAtMillis the time, by the monotonic clock
         */
        default void onComplete(long completeAtMillis) {}

        /**
         * Called when more of the partition has been delivered, and when it is listed anew.
         *
         * @param nextOffset the offset up to which every record has been delivered; empty while the
         *     partition is listed
         */
        default void onPosition(OptionalLong nextOffset) {}
    }

    /**
     * How often to read.
     *
     * @param waitMillis how long a read waits for records
     * @param pauseMillis the pause after records, so that a burst of records costs one call
     */
    public record ReadTiming(long waitMillis, long pauseMillis) {}

    /**
     * When to start a fresh read, and how to judge one that fails.
     *
     * @param bound how old the information may become
     * @param selfCheck distinguishes this daemon's own delay from an outage of the store
     */
    public record StalenessPolicy(StalenessBound bound, SelfCheck selfCheck) {

        /** Checks the arguments. */
        public StalenessPolicy {
            Objects.requireNonNull(bound, "bound is null");
            Objects.requireNonNull(selfCheck, "selfCheck is null");
        }
    }

    /** Receives the records that the lease holder relays. */
    private final class RelayReader implements RecordRelay.Reader {
        @Override
        public void onBatch(RecordBatch batch, long completeAtMillis) {
            relayedCompleteAtMillis = Math.max(relayedCompleteAtMillis, completeAtMillis);
            holderCompleteAtMillis = Math.max(holderCompleteAtMillis, completeAtMillis);
            relayedNextOffset = Math.max(relayedNextOffset, batch.nextOffset());
            if (nextOffset == NOT_LISTED) {
                return;
            }
            availability.recordHolderRead(completeAtMillis);
            // If there is a gap before the batch, the records are read from the store.
            if (batch.from() <= nextOffset) {
                deliver(batch, "relay");
                recordIfComplete(batch, Clocks.now().withSteadyMillis(completeAtMillis));
            }
            follow();
        }

        @Override
        public void onLost() {
            relayedCompleteAtMillis = Long.MIN_VALUE / 2;
            availability.recordHolderLost();
            follow();
        }
    }

    private KeyedFollower(
            TopicClient topics,
            TopicPart part,
            ControlThread control,
            ReadTiming timing,
            Listener listener,
            RecordRelay relay,
            StalenessPolicy stalenessPolicy) {
        this.topics = topics;
        this.part = part;
        this.control = control;
        this.timing = timing;
        this.listener = listener;
        this.relay = relay;
        this.stalenessPolicy = stalenessPolicy;
        this.availability = new StoreAvailability(part, listener, stalenessPolicy);
    }

    /**
     * Starts to follow a partition.
     *
     * @param topics the store
     * @param part the partition
     * @param control the thread that the listener is called on
     * @param timing how often to read
     * @param listener receives the records
     * @param relay delivers the records that the lease holder reads
     * @param stalenessPolicy when to start a fresh read, and how to judge one that fails
     * @return the follower
     */
    public static KeyedFollower start(
            TopicClient topics,
            TopicPart part,
            ControlThread control,
            ReadTiming timing,
            Listener listener,
            RecordRelay relay,
            StalenessPolicy stalenessPolicy) {
        KeyedFollower follower =
                new KeyedFollower(topics, part, control, timing, listener, relay, stalenessPolicy);
        topics.era().addRestoreListener(() -> control.post(follower::onStoreRestored));
        control.post(
                () -> {
                    relay.onRecords(part, follower.new RelayReader());
                    follower.startListing();
                });
        control.every(STALENESS_CHECK_INTERVAL_MILLIS, follower::refreshIfOld);
        return follower;
    }

    @Override
    public StoreFreshness freshness() {
        return availability.freshness();
    }

    @Override
    public void refresh() {
        if (refreshing.compareAndSet(false, true)) {
            control.post(this::readNow);
        }
    }

    private void refreshIfOld() {
        if (!currentRead.isRecentWithoutWait()
                && stalenessPolicy.bound().needsRefresh(freshness(), Clocks.now())) {
            refresh();
        }
    }

    // Runs beside the read that waits for records, and does not wait itself: the information must
    // not become stale while the waiting read hangs on a silent connection.
    private void readNow() {
        if (nextOffset == NOT_LISTED) {
            refreshing.set(false);
            return;
        }
        PendingRead refreshRead = startCheckedRead();
        long plannedGeneration = generation;
        topics.read(part, nextOffset, 0)
                .thenAccept(
                        answer ->
                                control.post(
                                        () -> {
                                            refreshing.set(false);
                                            refreshRead.finish();
                                            ifCurrent(
                                                    plannedGeneration,
                                                    () -> onRefreshed(answer, refreshRead));
                                        }));
    }

    // Another host is contacted at the same time: the answer to a read that lost packets on a
    // saturated link may arrive when the link is free again.
    private PendingRead startCheckedRead() {
        return PendingRead.withLinkCheck(stalenessPolicy.selfCheck());
    }

    private void onRefreshed(TopicAnswer<RecordBatch> answer, PendingRead refreshRead) {
        if (answer instanceof TopicAnswer.Done<RecordBatch> done) {
            availability.recordAnswer();
            process(done.value(), refreshRead.startedAt(), "refresh");
        } else if (answer instanceof TopicAnswer.Expired<RecordBatch>) {
            restartListing();
        } else if (refreshRead.startedAt().steadyMillis() >= holderCompleteAtMillis) {
            availability.recordFailure(answer, refreshRead);
        }
    }

    // After the restoration, offsets restart at an earlier value and are assigned again. Following
    // from the old offset would show nothing until the partition has grown past it, and would miss
    // everything written before it. Records missing from the listing were written after the copy
    // was made; their writers write them again, as they do after an outage.
    private void onStoreRestored() {
        LOG.info("event=listing-anew part=" + part + " next=" + nextOffset);
        relayedNextOffset = 0;
        relayedCompleteAtMillis = Long.MIN_VALUE / 2;
        availability.recordRestoration();
        restartListing();
    }

    /** Discards the reads in progress and starts with a new listing. */
    private void restartListing() {
        generation++;
        readPending = false;
        checkScheduled = false;
        startListing();
    }

    /** Runs a step unless it was planned before the last restart. */
    private void ifCurrent(long plannedGeneration, Runnable step) {
        if (plannedGeneration == generation) {
            step.run();
        }
    }

    private void after(long millis, Runnable step) {
        long plannedGeneration = generation;
        control.after(millis, () -> ifCurrent(plannedGeneration, step));
    }

    private void startListing() {
        nextOffset = NOT_LISTED;
        listener.onPosition(OptionalLong.empty());
        listing.clear();
        readPage("", true);
    }

    private void readPage(String afterKey, boolean first) {
        currentRead = startCheckedRead();
        if (first) {
            firstPageStartedAt = currentRead.startedAt();
        }
        long plannedGeneration = generation;
        topics.newest(part, afterKey)
                .thenAccept(
                        answer ->
                                control.post(
                                        () ->
                                                ifCurrent(
                                                        plannedGeneration,
                                                        () -> onPage(answer, first))));
    }

    private void onPage(TopicAnswer<NewestPage> answer, boolean first) {
        currentRead.finish();
        if (!(answer instanceof TopicAnswer.Done<NewestPage> done)) {
            retry(answer, this::startListing);
            return;
        }
        availability.recordAnswer();
        NewestPage page = done.value();
        if (first) {
            // Pages are not a consistent snapshot. Following from the end offset of the first page,
            // a change between two pages is read again and none is missed.
            listingEndOffset = page.end();
        }
        listing.addAll(page.records());
        if (page.more() && !page.records().isEmpty()) {
            readPage(page.records().get(page.records().size() - 1).key(), false);
            return;
        }
        listener.onListing(List.copyOf(listing));
        listing.clear();
        nextOffset = listingEndOffset;
        listener.onPosition(OptionalLong.of(nextOffset));
        availability.recordComplete(firstPageStartedAt);
        follow();
    }

    private void follow() {
        if (readPending || nextOffset == NOT_LISTED) {
            return;
        }
        long relayAgeMillis = ControlThread.nowMillis() - relayedCompleteAtMillis;
        if (relayAgeMillis < RecordRelay.STALE_MILLIS && relayedNextOffset <= nextOffset) {
            reliesOnHolder = true;
            checkAfter(RecordRelay.STALE_MILLIS - relayAgeMillis);
            return;
        }
        if (reliesOnHolder) {
            reliesOnHolder = false;
            relayBecameSilent = true;
            LOG.info(
                    "event=relay-quiet part="
                            + part
                            + " whole_before_ms="
                            + availability.millisSinceComplete());
        }
        readPending = true;
        long waitMillis = waitMillis();
        currentRead =
                waitMillis == 0 ? startCheckedRead() : PendingRead.waitingForRecords(waitMillis);
        long plannedGeneration = generation;
        topics.read(part, nextOffset, waitMillis)
                .thenAccept(
                        answer ->
                                control.post(
                                        () ->
                                                ifCurrent(
                                                        plannedGeneration,
                                                        () -> onRead(answer, waitMillis))));
    }

    // The first read after a failed one does not wait for records. The time that lapsed entries are
    // kept runs from the store's return. A waiting read would show the return more than a second
    // late, and a target that left meanwhile would get requests for as much longer. If the read
    // times out, the next one waits: the less a read waits, the sooner it times out, and one that
    // has much to fetch over a slow link would never finish. The read after the holder becomes
    // silent does not wait either, since the information is already old by then.
    private long waitMillis() {
        if (availability.failing() || relayBecameSilent) {
            relayBecameSilent = false;
            return availability.nextReadMayWait() ? timing.waitMillis() : 0;
        }
        return relay.holding() ? holderWaitMillis() : timing.waitMillis();
    }

    // A read that returns records ends early and is complete only up to the time it started. A
    // shorter wait of the next read makes up for it, so that the other daemons need not read the
    // store themselves.
    private long holderWaitMillis() {
        return Math.max(0, HOLDER_WAIT_MILLIS - Math.max(0, availability.millisSinceComplete()));
    }

    private void checkAfter(long millis) {
        if (checkScheduled) {
            return;
        }
        checkScheduled = true;
        after(
                millis,
                () -> {
                    checkScheduled = false;
                    follow();
                });
    }

    private void onRead(TopicAnswer<RecordBatch> answer, long waitedMillis) {
        readPending = false;
        currentRead.finish();
        if (answer instanceof TopicAnswer.Expired<RecordBatch> expired) {
            LOG.info(
                    "event=records-expired part="
                            + part
                            + " next="
                            + nextOffset
                            + " first="
                            + expired.first());
            startListing();
            return;
        }
        if (!(answer instanceof TopicAnswer.Done<RecordBatch> done)) {
            onReadFailed(answer);
            return;
        }
        availability.recordAnswer();
        RecordBatch batch = done.value();
        boolean nothingNew = batch.nextOffset() <= nextOffset;
        boolean moreAvailable = batch.nextOffset() < batch.end();
        process(batch, completeAsOf(batch, waitedMillis), "read");
        if (nothingNew || moreAvailable) {
            follow();
        } else {
            pause(Math.max(1, relay.holding() ? holderPauseMillis() : timing.pauseMillis()));
        }
    }

    // The pause ends in time for the other daemons, which rely on the holder's reads.
    private long holderPauseMillis() {
        return Math.min(timing.pauseMillis(), holderWaitMillis());
    }

    /** Delivers the records of a read and relays them. */
    private void process(RecordBatch batch, DualTimestamp completeAt, String source) {
        relay.publish(
                part,
                batch,
                batch.nextOffset() < batch.end()
                        ? Message.Records.UNKNOWN_MILLIS
                        : completeAt.steadyMillis());
        deliver(batch, source);
        recordIfComplete(batch, completeAt);
    }

    // A read that hangs in an outage ends by its timeout, up to two seconds later. If the holder
    // has read the store since the read started, the failure shows an outage that is already over.
    // Counted as a new outage, it would extend the time that lapsed entries are kept.
    private void onReadFailed(TopicAnswer<RecordBatch> answer) {
        if (currentRead.startedAt().steadyMillis() >= holderCompleteAtMillis) {
            retry(answer, this::follow);
            return;
        }
        LOG.info("event=read-outdated " + availability.describe(answer, currentRead.startedAt()));
        follow();
    }

    // A read without records was answered when its wait was over, however late its answer is
    // processed here.
    private DualTimestamp completeAsOf(RecordBatch batch, long waitedMillis) {
        DualTimestamp startedAt = currentRead.startedAt();
        return batch.records().isEmpty()
                ? startedAt.withSteadyMillis(
                        startedAt.steadyMillis()
                                + Math.min(waitedMillis, Clocks.millisSince(startedAt)))
                : startedAt;
    }

    private void recordIfComplete(RecordBatch batch, DualTimestamp completeAt) {
        if (batch.nextOffset() >= batch.end()) {
            availability.recordComplete(completeAt);
        }
    }

    // Records may be relayed while they are being read.
    private void deliver(RecordBatch batch, String source) {
        List<KeyedRecord> unread =
                KeyedRecords.decode(topics, part, batch).stream()
                        .filter(record -> record.offset() >= nextOffset)
                        .collect(Collectors.toList());
        nextOffset = Math.max(nextOffset, batch.nextOffset());
        if (!unread.isEmpty()) {
            availability.logLateRecords(source, unread.size(), currentRead.startedAt());
            listener.onRecords(unread);
        }
        listener.onPosition(OptionalLong.of(nextOffset));
    }

    private void pause(long millis) {
        readPending = true;
        after(
                millis,
                () -> {
                    readPending = false;
                    follow();
                });
    }

    private void retry(TopicAnswer<?> answer, Runnable step) {
        after(availability.recordFailureAndBackOff(answer, currentRead), step);
    }
}
