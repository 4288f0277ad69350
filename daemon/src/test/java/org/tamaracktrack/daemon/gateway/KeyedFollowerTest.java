package org.tamaracktrack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.knowledge.KnowledgeBound;
import org.tamaracktrack.daemon.relay.MemoryLog;
import org.tamaracktrack.daemon.relay.RecordRelay;
import org.tamaracktrack.daemon.relay.RelayLimits;
import org.tamaracktrack.daemon.relay.RelayPair;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.topic.KeyedRecord;
import org.tamaracktrack.link.topic.RecordBatch;
import org.tamaracktrack.link.topic.TopicPart;

class KeyedFollowerTest {
    private static final TopicPart PART = new TopicPart("keyed", 0);

    /** Takes 0.8 s of the link. */
    private static final String LARGE_RECORD = "large\n" + "x".repeat(100_000);

    private final MemoryLog log = new MemoryLog();
    private final List<String> heard = new ArrayList<>();
    private final List<String> contact = new ArrayList<>();
    private final List<Long> returnedAtMillis = new ArrayList<>();
    private List<String> expectedContact = List.of();
    private final AtomicBoolean punctual = new AtomicBoolean(true);
    private RelayPair pair;

    @BeforeEach
    void start() throws IOException {
        pair = RelayPair.start(new RelayLimits(1));
        pair.onControl(
                () ->
                        KeyedFollower.start(
                                log,
                                PART,
                                pair.control(),
                                new KeyedFollower.Pace(1_300, 1),
                                new KeyedFollower.Listener() {
                                    @Override
                                    public void onListing(List<KeyedRecord> listed) {
                                        // Nothing is listed here.
                                    }

                                    @Override
                                    public void onRecords(List<KeyedRecord> read) {
                                        read.forEach(record -> heard.add(record.key()));
                                    }

                                    @Override
                                    public void onAway() {
                                        contact.add("away");
                                    }

                                    @Override
                                    public void onBack(long atMillis) {
                                        contact.add("back");
                                        returnedAtMillis.add(atMillis);
                                    }
                                },
                                pair.follower(),
                                new KeyedFollower.Watch(
                                        KnowledgeBound.of(2_000), since -> punctual.get())));
        pair.await(log::hasWaitingRead);
    }

    @AfterEach
    void close() {
        List<String> noted = new ArrayList<>();
        pair.onControl(() -> noted.addAll(contact));
        pair.close();
        assertThat(noted).isEqualTo(expectedContact);
    }

    private void publish(long from) {
        pair.onControl(() -> pair.holder().publish(PART, log.batch(from)));
    }

    private void passOnWhatWasRead(long from) {
        pair.onControl(
                () -> pair.holder().publish(PART, log.batch(from), ControlThread.nowMillis()));
    }

    /** The holder is heard of; a read waits from before. */
    private void hearOfTheHolder() {
        pair.hold();
        pair.await(
                () -> {
                    pair.holder().publish(PART, log.batch(0));
                    return pair.follower().tell(PART, new byte[0]);
                });
    }

    /** The holder is heard of, and the read that waited from before is over. */
    private void follow() {
        hearOfTheHolder();
        pair.onControl(log::endWaits);
    }

    @Test
    void shouldReadNothingWhileTheHolderPassesRecordsOn() {
        follow();
        int before = log.reads();

        log.add("a");
        publish(0);
        pair.await(() -> heard.equals(List.of("a")));
        log.add("b");
        publish(1);
        pair.await(() -> heard.equals(List.of("a", "b")));

        assertThat(log.reads()).isEqualTo(before);
    }

    // The connection was lost for a moment and a record with it. The next one that is passed on
    // does not follow the last one known, so the log is read, and nothing is heard out of order.
    @Test
    void shouldReadTheLogWhenRecordsWereNotPassedOn() {
        follow();
        List.of("a", "b", "c").forEach(log::add);

        publish(2);

        pair.await(() -> heard.equals(List.of("a", "b", "c")));
    }

    // Guards against a large configuration that takes the link of a small holder for seconds.
    @Test
    void shouldReadTheLogAndHearEachRecordOnceWhenTheLinkHasNoRoomForThem() {
        follow();
        int before = log.reads();
        log.add("a");
        log.add(LARGE_RECORD);

        passOnWhatWasRead(0);
        pair.await(() -> heard.equals(List.of("a", "large")));
        log.add("b");
        passOnWhatWasRead(2);
        pair.await(() -> heard.equals(List.of("a", "large", "b")));

        assertThat(log.reads()).isGreaterThan(before);
    }

    @Test
    void shouldHearARecordOnceWhenItIsReadBeforeTheWordThatItIsThere() {
        hearOfTheHolder();
        log.add(LARGE_RECORD);
        pair.onControl(log::endWaits);
        pair.await(() -> heard.equals(List.of("large")));

        passOnWhatWasRead(0);
        log.add("b");
        publish(1);

        pair.await(() -> heard.size() > 1);
        pair.onControl(() -> assertThat(heard).containsExactly("large", "b").inOrder());
    }

    // The holder is frozen: its connections stay open, and it passes nothing on. A change has to
    // be seen within two seconds all the same.
    @Test
    void shouldReadTheLogWhenTheHolderFallsSilent() {
        follow();
        int before = log.reads();

        log.add("a");
        pair.await(() -> heard.equals(List.of("a")));

        assertThat(log.reads()).isGreaterThan(before);
    }

    // Guards against a change that is heard of late because a holder that was frozen passes on what
    // it read before.
    @Test
    void shouldReadTheLogWhenTheHolderPassesOnAnOldRead() {
        follow();
        log.add("a");
        pair.await(
                () -> {
                    pair.holder()
                            .publish(
                                    PART,
                                    new RecordBatch(0, List.of(), 0),
                                    ControlThread.nowMillis() - RecordRelay.STALE_MILLIS);
                    return heard.equals(List.of("a"));
                });
    }

    @Test
    void shouldReadTheLogAtOnceWhenTheHolderIsLost() {
        follow();
        int before = log.reads();
        pair.onControl(() -> pair.holder().holder(false, Optional.empty()));

        pair.await(() -> log.reads() > before);
    }

    @Test
    void shouldHearEachRecordOnceWhenItIsReadAndPassedOn() {
        hearOfTheHolder();
        log.add("a");
        publish(0);
        pair.await(() -> !heard.isEmpty());

        pair.onControl(log::endWaits);
        pair.onControl(() -> assertThat(heard).containsExactly("a"));
    }

    // The log is away and comes back, and nobody writes to it for a while. What lapsed meanwhile is
    // kept for a time that runs from its return, so a return that is noticed only when a read has
    // waited for records is noticed more than a second late.
    @Test
    void shouldNoticeTheReturnBeforeAnythingIsWritten() {
        expectedContact = List.of("away", "back");

        pair.onControl(log::failWaits);

        pair.await(() -> contact.equals(expectedContact));
        pair.await(log::hasWaitingRead);
    }

    // A read hangs in an outage. The holder hears of the log's return first and passes on what it
    // reads; a moment later the old read ends by its time limit. In a recorded day that counted as
    // a second outage, and what had lapsed got its time once more from there.
    @Test
    void shouldNotTakeTheLateEndOfAnOldReadForAnOutage() {
        hearOfTheHolder();

        pair.onControl(log::failWaits);

        pair.onControl(() -> assertThat(contact).isEmpty());
        log.add("a");
        publish(0);
        pair.await(() -> heard.equals(List.of("a")));
    }

    // Guards against requests to a target that left while this host alone was cut off: the cut was
    // taken for an outage, after which a missing target is kept.
    @Test
    void shouldDateTheReturnByWhatTheHolderReadWhileThisHostWasCutOff() {
        expectedContact = List.of("away", "back", "back");
        hearOfTheHolder();
        pair.onControl(log::endWaits);
        pair.await(log::hasWaitingRead);
        pair.onControl(log::failWaits);
        pair.await(() -> contact.contains("away"));

        long startedAtMillis = ControlThread.nowMillis();
        pair.await(() -> ControlThread.nowMillis() > startedAtMillis + 100);
        pair.onControl(
                () -> {
                    RecordBatch nothing = new RecordBatch(0, List.of(), 0);
                    pair.holder().publish(PART, nothing, startedAtMillis + 10);
                    pair.holder().publish(PART, nothing, startedAtMillis + 20);
                });

        pair.await(() -> contact.equals(expectedContact));
        pair.onControl(
                () ->
                        assertThat(returnedAtMillis.get(1))
                                .isIn(Range.closed(startedAtMillis - 1_000, startedAtMillis + 20)));
    }

    // Many large records came while this process could not read. A read that does not wait is given
    // up before they are all here, each time; callers got the answers of an old configuration for
    // good.
    @Test
    void shouldGiveAReadMoreTimeWhenOneThatDoesNotWaitFails() {
        expectedContact = List.of("away", "back");
        pair.onControl(log::failAtOnce);

        pair.onControl(log::failWaits);
        pair.await(log::hasWaitingRead);
        pair.onControl(log::endWaits);

        pair.await(() -> contact.equals(expectedContact));
    }
}
