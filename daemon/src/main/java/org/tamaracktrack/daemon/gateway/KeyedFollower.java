package org.tamaracktrack.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.knowledge.Knowledge;
import org.tamaracktrack.core.knowledge.KnowledgeBound;
import org.tamaracktrack.core.knowledge.Moment;
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
 * Follows a partition that keeps the newest record of each key: a listing first, then the records
 * that come, and a listing again when records were forgotten before they were read. The records
 * come from the holder of the lease, which passes on what it reads; from reads of its own when it
 * hears nothing of the holder, or not everything. On the control thread.
 */
public final class KeyedFollower implements KnowledgeSource {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.topics");

    /**
     * How long a read of the holder waits: each tells the other daemons that there is nothing new.
     */
    private static final long HOLDER_WAIT_MILLIS = 900;

    /** How often the age of what is known is looked at. */
    private static final long LOOK_MILLIS = 100;

    private static final long NOT_LISTED = -1;

    private final TopicClient topics;
    private final TopicPart part;
    private final ControlThread control;
    private final Listener listener;
    private final Pace pace;
    private final RecordRelay relay;
    private final Watch watch;
    private final StoreContact contact;
    private final AtomicBoolean refreshing = new AtomicBoolean();
    private final List<KeyedRecord> listing = new ArrayList<>();
    private long next = NOT_LISTED;
    private long listedAt;
    private ReadAsked asked = ReadAsked.none();
    private Moment firstPageAsked = asked.moment();
    private boolean relayFellQuiet;
    private boolean busy;
    private boolean checking;
    private long generation;
    private long relayedNext;

    /** Up to when what the holder passed on is whole; forgotten when the connection is lost. */
    private long relayedAtMillis = Long.MIN_VALUE / 2;

    /** The same, and kept when the connection to the holder is lost. */
    private long heardAtMillis = Long.MIN_VALUE / 2;

    private boolean reliesOnHolder;

    /** Hears of records, on the control thread. */
    public interface Listener {
        /**
         * The newest records of all keys.
         *
         * @param records the records
         */
        void onListing(List<KeyedRecord> records);

        /**
         * Records in the order in which they were written.
         *
         * @param records the records
         */
        void onRecords(List<KeyedRecord> records);

        /** The store did not answer. */
        void onAway();

        /**
         * The store answers again. Told once more when an earlier time comes to be known.
         *
         * @param returnedAtMillis a time, by the steady clock, at which it had returned
         */
        void onBack(long returnedAtMillis);

        /**
         * Every record that was written before a time has been delivered.
         *
         * @param wholeAtMillis the time, by the steady clock
         */
        default void onWhole(long wholeAtMillis) {}
    }

    /**
     * How often to read.
     *
     * @param waitMillis how long a read waits for records
     * @param gapMillis the pause after records, so that many that follow each other cost one call
     */
    public record Pace(long waitMillis, long gapMillis) {}

    /**
     * When to ask for a fresh read, and what to make of one that fails.
     *
     * @param bound how old what is known may become
     * @param self tells this daemon's own delay from the store's
     */
    public record Watch(KnowledgeBound bound, SelfCheck self) {

        /** Checks the arguments. */
        public Watch {
            Objects.requireNonNull(bound, "bound is null");
            Objects.requireNonNull(self, "self is null");
        }
    }

    /** What the holder of the lease passes on. */
    private final class Relayed implements RecordRelay.Reader {
        @Override
        public void onBatch(RecordBatch batch, long wholeAtMillis) {
            relayedAtMillis = Math.max(relayedAtMillis, wholeAtMillis);
            heardAtMillis = Math.max(heardAtMillis, wholeAtMillis);
            relayedNext = Math.max(relayedNext, batch.nextOffset());
            if (next == NOT_LISTED) {
                return;
            }
            contact.holderHasRead(wholeAtMillis);
            // With a gap before the batch, the records are read of the store.
            if (batch.from() <= next) {
                deliver(batch, "relay");
                whole(batch, Clocks.now().at(wholeAtMillis));
            }
            follow();
        }

        @Override
        public void onLost() {
            relayedAtMillis = Long.MIN_VALUE / 2;
            contact.holderLost();
            follow();
        }
    }

    private KeyedFollower(
            TopicClient topics,
            TopicPart part,
            ControlThread control,
            Pace pace,
            Listener listener,
            RecordRelay relay,
            Watch watch) {
        this.topics = topics;
        this.part = part;
        this.control = control;
        this.pace = pace;
        this.listener = listener;
        this.relay = relay;
        this.watch = watch;
        this.contact = new StoreContact(part, listener, watch);
    }

    /**
     * Starts to follow.
     *
     * @param topics the store
     * @param part the partition
     * @param control the thread that the listener is called on
     * @param pace how often to read
     * @param listener hears of records
     * @param relay passes on what the holder of the lease reads
     * @param watch when to ask for a fresh read, and what to make of one that fails
     * @return the follower
     */
    public static KeyedFollower start(
            TopicClient topics,
            TopicPart part,
            ControlThread control,
            Pace pace,
            Listener listener,
            RecordRelay relay,
            Watch watch) {
        KeyedFollower follower =
                new KeyedFollower(topics, part, control, pace, listener, relay, watch);
        topics.era().addRestoreListener(() -> control.post(follower::restored));
        control.post(
                () -> {
                    relay.onRecords(part, follower.new Relayed());
                    follower.list();
                });
        control.every(LOOK_MILLIS, follower::refreshIfOld);
        return follower;
    }

    @Override
    public Knowledge knowledge() {
        return contact.knowledge();
    }

    @Override
    public void refresh() {
        if (refreshing.compareAndSet(false, true)) {
            control.post(this::readNow);
        }
    }

    private void refreshIfOld() {
        if (!asked.promptAndYoung() && watch.bound().refreshes(knowledge(), Clocks.now())) {
            refresh();
        }
    }

    // Beside the read that waits for records, and without waiting: what is acted on may not become
    // older while that one hangs on a connection that fell silent.
    private void readNow() {
        if (next == NOT_LISTED) {
            refreshing.set(false);
            return;
        }
        ReadAsked askedNow = ask();
        long planned = generation;
        topics.read(part, next, 0)
                .thenAccept(
                        answer ->
                                control.post(
                                        () -> {
                                            refreshing.set(false);
                                            askedNow.end();
                                            ifNow(planned, () -> refreshed(answer, askedNow));
                                        }));
    }

    // Another host is tried at the same moment: what a full link has lost of the read may come
    // late,
    // when the link has long been free again.
    private ReadAsked ask() {
        return ReadAsked.checkedBy(watch.self());
    }

    private void refreshed(TopicAnswer<RecordBatch> answer, ReadAsked askedNow) {
        if (answer instanceof TopicAnswer.Done<RecordBatch> done) {
            contact.back();
            take(done.value(), askedNow.moment(), "refresh");
        } else if (answer instanceof TopicAnswer.Expired<RecordBatch>) {
            listAnew();
        } else if (askedNow.moment().steadyMillis() >= heardAtMillis) {
            contact.failed(answer, askedNow);
        }
    }

    // Offsets go back and are given out again. Followed from where it was, the partition would
    // show nothing until it has grown past that place, and never what was written before it. What
    // the listing lacks was written after the copy was made, and its writers write it again, as
    // they do after an outage.
    private void restored() {
        LOG.info("event=listing-anew part=" + part + " next=" + next);
        relayedNext = 0;
        relayedAtMillis = Long.MIN_VALUE / 2;
        contact.restored();
        listAnew();
    }

    /** Drops what is under way, and begins with a listing. */
    private void listAnew() {
        generation++;
        busy = false;
        checking = false;
        list();
    }

    /** Drops a step that was planned in an era before. */
    private void ifNow(long planned, Runnable step) {
        if (planned == generation) {
            step.run();
        }
    }

    private void after(long millis, Runnable step) {
        long planned = generation;
        control.after(millis, () -> ifNow(planned, step));
    }

    private void list() {
        next = NOT_LISTED;
        listing.clear();
        readPage("", true);
    }

    private void readPage(String afterKey, boolean first) {
        asked = ask();
        if (first) {
            firstPageAsked = asked.moment();
        }
        long planned = generation;
        topics.newest(part, afterKey)
                .thenAccept(
                        answer -> control.post(() -> ifNow(planned, () -> page(answer, first))));
    }

    private void page(TopicAnswer<NewestPage> answer, boolean first) {
        asked.end();
        if (!(answer instanceof TopicAnswer.Done<NewestPage> done)) {
            retry(answer, this::list);
            return;
        }
        contact.back();
        NewestPage page = done.value();
        if (first) {
            // Pages are no snapshot. Following from the end at the first page, a change between
            // two pages is read again and none is missed.
            listedAt = page.end();
        }
        listing.addAll(page.records());
        if (page.more() && !page.records().isEmpty()) {
            readPage(page.records().get(page.records().size() - 1).key(), false);
            return;
        }
        listener.onListing(List.copyOf(listing));
        listing.clear();
        next = listedAt;
        contact.wholeAt(firstPageAsked);
        follow();
    }

    private void follow() {
        if (busy || next == NOT_LISTED) {
            return;
        }
        long passed = ControlThread.nowMillis() - relayedAtMillis;
        if (passed < RecordRelay.STALE_MILLIS && relayedNext <= next) {
            reliesOnHolder = true;
            checkAfter(RecordRelay.STALE_MILLIS - passed);
            return;
        }
        if (reliesOnHolder) {
            reliesOnHolder = false;
            relayFellQuiet = true;
            LOG.info(
                    "event=relay-quiet part="
                            + part
                            + " whole_before_ms="
                            + contact.wholeBeforeMillis());
        }
        busy = true;
        long waitMillis = waitMillis();
        asked = waitMillis == 0 ? ask() : ReadAsked.waiting(waitMillis);
        long planned = generation;
        topics.read(part, next, waitMillis)
                .thenAccept(
                        answer ->
                                control.post(
                                        () -> ifNow(planned, () -> records(answer, waitMillis))));
    }

    // The first read after a failed one does not wait for records. The time that lapsed entries
    // have runs from the store's return; waiting, a read tells of it more than a second late, and
    // a target that left meanwhile gets requests for as much longer. If that one times out the
    // next waits: the less a read waits the sooner it is given up, and one that has much to fetch
    // over a slow link would never end. Nor does the read wait that follows the holder's silence,
    // since what is known is old by then.
    private long waitMillis() {
        if (contact.failing() || relayFellQuiet) {
            relayFellQuiet = false;
            return contact.needsTime() ? pace.waitMillis() : 0;
        }
        return relay.holding() ? holderWaitMillis() : pace.waitMillis();
    }

    // Records end a read early, and only what was written before it was asked is sure to be among
    // them. The next read makes up for that, so that other daemons need not read themselves.
    private long holderWaitMillis() {
        return Math.max(0, HOLDER_WAIT_MILLIS - Math.max(0, contact.wholeBeforeMillis()));
    }

    private void checkAfter(long millis) {
        if (checking) {
            return;
        }
        checking = true;
        after(
                millis,
                () -> {
                    checking = false;
                    follow();
                });
    }

    private void records(TopicAnswer<RecordBatch> answer, long waitedMillis) {
        busy = false;
        asked.end();
        if (answer instanceof TopicAnswer.Expired<RecordBatch> expired) {
            LOG.info(
                    "event=records-expired part="
                            + part
                            + " next="
                            + next
                            + " first="
                            + expired.first());
            list();
            return;
        }
        if (!(answer instanceof TopicAnswer.Done<RecordBatch> done)) {
            failed(answer);
            return;
        }
        contact.back();
        RecordBatch batch = done.value();
        boolean nothingNew = batch.nextOffset() <= next;
        boolean moreIsThere = batch.nextOffset() < batch.end();
        take(batch, answeredAt(batch, waitedMillis), "read");
        if (nothingNew || moreIsThere) {
            follow();
        } else {
            pause(Math.max(1, relay.holding() ? holderGapMillis() : pace.gapMillis()));
        }
    }

    // The pause ends in time for the other daemons, which rely on what the holder reads.
    private long holderGapMillis() {
        return Math.min(pace.gapMillis(), holderWaitMillis());
    }

    /** Takes in what was read, and passes it on. */
    private void take(RecordBatch batch, Moment at, String source) {
        relay.publish(
                part,
                batch,
                batch.nextOffset() < batch.end()
                        ? Message.Records.UNKNOWN_MILLIS
                        : at.steadyMillis());
        deliver(batch, source);
        whole(batch, at);
    }

    // A read that hangs in an outage ends by its time limit, up to two seconds later. Once the
    // holder has read the store since it was asked, it tells of an outage that is over. Taken for
    // a new one, what lapsed would be kept for as much longer.
    private void failed(TopicAnswer<RecordBatch> answer) {
        if (asked.moment().steadyMillis() >= heardAtMillis) {
            retry(answer, this::follow);
            return;
        }
        LOG.info("event=read-outdated " + contact.describe(answer, asked.moment()));
        follow();
    }

    // A read without records came back when its wait was over, however long its answer lay here.
    private Moment answeredAt(RecordBatch batch, long waitedMillis) {
        Moment at = asked.moment();
        return batch.records().isEmpty()
                ? at.at(at.steadyMillis() + Math.min(waitedMillis, Clocks.agoMillis(at)))
                : at;
    }

    private void whole(RecordBatch batch, Moment at) {
        if (batch.nextOffset() >= batch.end()) {
            contact.wholeAt(at);
        }
    }

    // Records may be relayed while they are being read.
    private void deliver(RecordBatch batch, String source) {
        List<KeyedRecord> unread =
                KeyedRecords.decode(topics, part, batch).stream()
                        .filter(record -> record.offset() >= next)
                        .collect(Collectors.toList());
        next = Math.max(next, batch.nextOffset());
        if (unread.isEmpty()) {
            return;
        }
        contact.noteLate(source, unread.size(), asked.moment());
        listener.onRecords(unread);
    }

    private void pause(long millis) {
        busy = true;
        after(
                millis,
                () -> {
                    busy = false;
                    follow();
                });
    }

    private void retry(TopicAnswer<?> answer, Runnable step) {
        after(contact.retry(answer, asked), step);
    }
}
