package org.tamaracktrack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.knowledge.DualTimestamp;
import org.tamaracktrack.core.knowledge.StalenessBound;
import org.tamaracktrack.daemon.relay.InMemoryTopicClient;
import org.tamaracktrack.daemon.relay.RecordRelay;
import org.tamaracktrack.daemon.relay.RelayLimits;
import org.tamaracktrack.daemon.relay.RelayPair;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.topic.KeyedRecord;
import org.tamaracktrack.link.topic.RecordBatch;
import org.tamaracktrack.link.topic.TopicPart;

class KeyedFollowerTest {
    private static final TopicPart PART = new TopicPart("keyed", 0);

    /** A failure that comes this late is the end of a wait, not the word of another host. */
    private static final long TIMED_OUT_MILLIS = 300;

    /** Takes 0.8 s of the link. */
    private static final String LARGE_RECORD = "large\n" + "x".repeat(100_000);

    private final InMemoryTopicClient log = new InMemoryTopicClient();
    private final List<String> heard = new ArrayList<>();
    private final List<String> contact = new ArrayList<>();
    private final List<Long> returnedAtMillis = new ArrayList<>();
    private List<String> expectedContact = List.of();
    private final AtomicBoolean punctual = new AtomicBoolean(true);
    private final AtomicBoolean reaching = new AtomicBoolean(true);
    private RelayPair pair;
    private KeyedFollower follower;

    /** What this process knows of its own delay. */
    private final class OwnState implements SelfCheck {
        @Override
        public boolean punctualSince(long sinceMillis) {
            return punctual.get();
        }

        @Override
        public CompletableFuture<Boolean> reachesOthers() {
            return CompletableFuture.completedFuture(reaching.get());
        }
    }

    @BeforeEach
    void start() throws IOException {
        pair = RelayPair.start(new RelayLimits(1));
        pair.onControl(
                () ->
                        follower =
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
                                                StalenessBound.of(2_000, 3_000), new OwnState())));
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
        pair.grantLease();
        pair.await(
                () -> {
                    pair.holder().publish(PART, log.batch(0));
                    return pair.follower().sendToHolder(PART, new byte[0]);
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
        pair.onControl(() -> pair.holder().updateHolder(false, Optional.empty()));

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

        pair.onControl(log::refuseWaits);

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
        pair.onControl(log::refuseWaits);
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

        pair.onControl(log::refuseWaits);
        pair.await(log::hasWaitingRead);
        pair.onControl(log::endWaits);

        pair.await(() -> contact.equals(expectedContact));
    }

    /** How long the reads since a number of them were to wait. */
    private List<Long> waitsSince(int reads) {
        List<Long> waits = new ArrayList<>();
        pair.onControl(() -> waits.addAll(log.waits().subList(reads, log.reads())));
        return waits;
    }

    private void pass(long millis) {
        long startedAtMillis = ControlThread.nowMillis();
        pair.await(() -> ControlThread.nowMillis() > startedAtMillis + millis);
    }

    private void failWaitsWhile(boolean inTime) {
        pass(TIMED_OUT_MILLIS);
        pair.onControl(
                () -> {
                    punctual.set(inTime);
                    log.failWaits();
                });
    }

    /** Reads that do not wait hang, and are given up when the future is complete. */
    private CompletableFuture<Void> hangReads() {
        CompletableFuture<Void> givenUp = new CompletableFuture<>();
        pair.onControl(
                () -> {
                    log.holdReads(givenUp);
                    log.failAtOnce();
                });
        return givenUp;
    }

    /** A read beside the one that waits is asked for, and given up after a while. */
    private void refreshAndTimeOut() {
        CompletableFuture<Void> givenUp = hangReads();
        int before = log.reads();
        follower.refresh();
        pair.await(() -> log.reads() > before);
        pass(TIMED_OUT_MILLIS);
        pair.onControl(() -> givenUp.complete(null));
    }

    private void assertNeverAway() {
        pair.onControl(() -> assertThat(contact).isEmpty());
        assertThat(follower.knowledge().unavailableAt()).isEqualTo(DualTimestamp.never());
    }

    @Nested
    class OwnDelay {

        // Guards against old knowledge that is acted on since this process's delay passes for an
        // outage.
        @Test
        void shouldAskAgainWithoutWaitingWhenAReadTimedOutWhileThreadsWereLate() {
            int before = log.reads();

            failWaitsWhile(false);
            pair.await(log::hasWaitingRead);

            List<Long> waits = waitsSince(before);
            assertThat(waits.get(0)).isEqualTo(0);
            assertThat(waits).contains(1_300L);
            assertNeverAway();
        }

        // Guards against an outage that goes unnoticed since it began while threads were late.
        @Test
        void shouldTakeALaterReadForAnOutageWhenThreadsAreInTimeAgain() {
            expectedContact = List.of("away");
            punctual.set(false);
            refreshAndTimeOut();
            assertNeverAway();

            punctual.set(true);
            refreshAndTimeOut();

            pair.await(() -> contact.equals(expectedContact));
            assertThat(follower.knowledge().unavailableAgeMillis(Clocks.now())).isLessThan(60_000);
        }

        // Guards against a refresh that is late by itself and passes for an outage.
        @Test
        void shouldNotTakeARefreshForAnOutageWhenThreadsWereLate() {
            punctual.set(false);

            refreshAndTimeOut();

            assertNeverAway();
        }
    }

    @Nested
    class FullLink {

        // Guards against old knowledge that is acted on since a full link passes for an outage.
        @Test
        void shouldNotTakeARefreshForAnOutageWhenNoOtherHostWasReached() {
            reaching.set(false);

            refreshAndTimeOut();

            assertNeverAway();
        }

        // Guards against the same by the read that follows one that timed out.
        @Test
        void shouldNotTakeAReadThatDoesNotWaitForAnOutageWhenNoOtherHostWasReached() {
            reaching.set(false);
            CompletableFuture<Void> givenUp = hangReads();
            int before = log.reads();

            failWaitsWhile(true);
            pair.await(() -> log.waits().subList(before, log.reads()).contains(0L));
            pass(TIMED_OUT_MILLIS);
            pair.onControl(() -> givenUp.complete(null));
            pair.await(log::hasWaitingRead);

            assertNeverAway();
        }

        // Guards against an outage that goes unnoticed since no read shows it.
        @Test
        void shouldTakeARefreshThatTimedOutForAnOutageWhenAnotherHostWasReached() {
            expectedContact = List.of("away");

            refreshAndTimeOut();

            pair.await(() -> contact.equals(expectedContact));
        }

        // Guards against a read for which no other host was tried and that passes for an outage.
        @Test
        void shouldNotTakeAReadThatWaitsForAnOutageWhenItTimedOut() {
            int before = log.reads();

            failWaitsWhile(true);
            pair.await(() -> log.reads() > before && log.hasWaitingRead());

            assertNeverAway();
        }
    }

    @Nested
    class Outdated {

        // Guards against an outage that is seen by a read from before another was answered.
        @Test
        void shouldNotTakeARefreshForAnOutageWhenAnotherReadWasAnsweredSince() {
            CompletableFuture<Void> givenUp = hangReads();
            int before = log.reads();
            follower.refresh();
            pair.await(() -> log.reads() > before);
            pass(TIMED_OUT_MILLIS);

            pair.onControl(log::endWaits);
            pair.await(log::hasWaitingRead);
            pair.onControl(() -> givenUp.complete(null));

            assertNeverAway();
        }
    }

    @Nested
    class Refresh {

        // Guards against knowledge that grows old while a read waits on a silent connection, and
        // against records that are heard of twice.
        @Test
        void shouldReadBesideTheReadThatWaitsAndDeliverEachRecordOnce() {
            int before = log.reads();
            long askedMillis = ControlThread.nowMillis();
            log.add("a");

            follower.refresh();
            pair.await(() -> heard.equals(List.of("a")));

            assertThat(waitsSince(before).get(0)).isEqualTo(0);
            assertThat(follower.knowledge().completeAt().steadyMillis()).isAtLeast(askedMillis);
            pair.onControl(
                    () -> {
                        assertThat(log.hasWaitingRead()).isTrue();
                        log.endWaits();
                    });
            pair.onControl(() -> assertThat(heard).containsExactly("a"));
        }

        // Guards against a store that is asked again for each request that waits.
        @Test
        void shouldAskOnceWhenARefreshIsUnderWay() {
            CompletableFuture<Void> go = new CompletableFuture<>();
            int[] before = {0};
            pair.onControl(
                    () -> {
                        log.holdReads(go);
                        before[0] = log.reads();
                        follower.refresh();
                    });
            pair.await(() -> log.reads() > before[0]);
            pair.onControl(follower::refresh);
            pair.onControl(follower::refresh);

            assertThat(waitsSince(before[0])).containsExactly(0L);
            pair.onControl(() -> go.complete(null));
            pair.onControl(follower::refresh);
            pair.await(() -> log.reads() > before[0] + 1);
        }

        // Guards against an outage that is noticed only when the read that waits has timed out.
        @Test
        void shouldTakeAFailedRefreshForAnOutageWhenThreadsWereInTime() {
            expectedContact = List.of("away");
            pair.onControl(log::failAtOnce);

            follower.refresh();

            pair.await(() -> contact.equals(expectedContact));
            pair.onControl(() -> assertThat(log.hasWaitingRead()).isTrue());
        }

        // Guards against knowledge that is refreshed only when a request finds it too old.
        @Test
        void shouldReadByItselfWhenWhatIsKnownGrowsOld() {
            int before = log.reads();
            log.add("a");

            pair.await(() -> heard.equals(List.of("a")));

            assertThat(waitsSince(before).get(0)).isEqualTo(0);
            pair.onControl(() -> assertThat(log.hasWaitingRead()).isTrue());
        }
    }

    @Nested
    class QuietRelay {

        // Guards against a read that waits for records when what is known is old already.
        @Test
        void shouldNotWaitInTheFirstReadAfterTheHolderFellSilent() {
            follow();
            int before = log.reads();

            pair.await(() -> log.waits().subList(before, log.reads()).contains(1_300L));

            assertThat(waitsSince(before).get(0)).isEqualTo(0);
        }
    }
}
