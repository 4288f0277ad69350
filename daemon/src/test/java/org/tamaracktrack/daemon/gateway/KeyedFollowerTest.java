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

    /** A failure this late is a timeout and was not reported by another host. */
    private static final long TIMED_OUT_MILLIS = 300;

    /** Takes 0.8 s to transfer over the link. */
    private static final String LARGE_RECORD = "large\n" + "x".repeat(100_000);

    private final InMemoryTopicClient log = new InMemoryTopicClient();
    private final List<String> receivedKeys = new ArrayList<>();
    private final List<String> availabilityEvents = new ArrayList<>();
    private final List<Long> availableAtMillis = new ArrayList<>();
    private List<String> expectedAvailabilityEvents = List.of();
    private final AtomicBoolean threadsOnTime = new AtomicBoolean(true);
    private final AtomicBoolean otherHostsReachable = new AtomicBoolean(true);
    private RelayPair pair;
    private KeyedFollower follower;

    /** A self-check whose results the test sets. */
    private final class FakeSelfCheck implements SelfCheck {
        @Override
        public boolean threadsOnTimeSince(long sinceMillis) {
            return threadsOnTime.get();
        }

        @Override
        public CompletableFuture<Boolean> reachesOtherHosts() {
            return CompletableFuture.completedFuture(otherHostsReachable.get());
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
                                        new KeyedFollower.ReadTiming(1_300, 1),
                                        new KeyedFollower.Listener() {
                                            @Override
                                            public void onListing(List<KeyedRecord> listed) {
                                                // The log is empty when the follower starts.
                                            }

                                            @Override
                                            public void onRecords(List<KeyedRecord> read) {
                                                read.forEach(
                                                        record -> receivedKeys.add(record.key()));
                                            }

                                            @Override
                                            public void onStoreUnavailable() {
                                                availabilityEvents.add("unavailable");
                                            }

                                            @Override
                                            public void onStoreAvailable(long atMillis) {
                                                availabilityEvents.add("available");
                                                availableAtMillis.add(atMillis);
                                            }
                                        },
                                        pair.follower(),
                                        new KeyedFollower.StalenessPolicy(
                                                StalenessBound.of(2_000, 3_000),
                                                new FakeSelfCheck())));
        pair.await(log::hasWaitingRead);
    }

    @AfterEach
    void close() {
        List<String> observedEvents = new ArrayList<>();
        pair.onControl(() -> observedEvents.addAll(availabilityEvents));
        pair.close();
        assertThat(observedEvents).isEqualTo(expectedAvailabilityEvents);
    }

    private void publish(long from) {
        pair.onControl(() -> pair.holder().publish(PART, log.batch(from)));
    }

    private void publishCompleteRead(long from) {
        pair.onControl(
                () -> pair.holder().publish(PART, log.batch(from), ControlThread.nowMillis()));
    }

    /** Connects the follower to the holder; a read that was started before still waits. */
    private void connectToHolder() {
        pair.grantLease();
        pair.await(
                () -> {
                    pair.holder().publish(PART, log.batch(0));
                    return pair.follower().sendToHolder(PART, new byte[0]);
                });
    }

    /** Connects the follower to the holder and ends the read that waited from before. */
    private void followHolder() {
        connectToHolder();
        pair.onControl(log::endWaits);
    }

    @Test
    void shouldNotReadTheStoreWhileTheHolderRelaysRecords() {
        followHolder();
        int readsBefore = log.reads();

        log.add("a");
        publish(0);
        pair.await(() -> receivedKeys.equals(List.of("a")));
        log.add("b");
        publish(1);
        pair.await(() -> receivedKeys.equals(List.of("a", "b")));

        assertThat(log.reads()).isEqualTo(readsBefore);
    }

    // Guards against missed or reordered records after a short loss of the connection to the
    // holder: the next relayed batch does not follow the last known record, so the store has to be
    // read.
    @Test
    void shouldReadTheStoreWhenRelayedRecordsHaveAGap() {
        followHolder();
        List.of("a", "b", "c").forEach(log::add);

        publish(2);

        pair.await(() -> receivedKeys.equals(List.of("a", "b", "c")));
    }

    // Guards against a large configuration that occupies the link of a small holder for seconds.
    @Test
    void shouldReadTheStoreAndDeliverEachRecordOnceWhenRecordsAreTooLargeForTheRelay() {
        followHolder();
        int readsBefore = log.reads();
        log.add("a");
        log.add(LARGE_RECORD);

        publishCompleteRead(0);
        pair.await(() -> receivedKeys.equals(List.of("a", "large")));
        log.add("b");
        publishCompleteRead(2);
        pair.await(() -> receivedKeys.equals(List.of("a", "large", "b")));

        assertThat(log.reads()).isGreaterThan(readsBefore);
    }

    @Test
    void shouldDeliverARecordOnceWhenItIsReadBeforeTheRelayAnnouncesIt() {
        connectToHolder();
        log.add(LARGE_RECORD);
        pair.onControl(log::endWaits);
        pair.await(() -> receivedKeys.equals(List.of("large")));

        publishCompleteRead(0);
        log.add("b");
        publish(1);

        pair.await(() -> receivedKeys.size() > 1);
        pair.onControl(() -> assertThat(receivedKeys).containsExactly("large", "b").inOrder());
    }

    // Guards against a change that is seen later than after two seconds when the holder is frozen:
    // its connections stay open, but it relays nothing.
    @Test
    void shouldReadTheStoreWhenTheHolderIsSilent() {
        followHolder();
        int readsBefore = log.reads();

        log.add("a");
        pair.await(() -> receivedKeys.equals(List.of("a")));

        assertThat(log.reads()).isGreaterThan(readsBefore);
    }

    // Guards against a change that is seen late because a holder that was frozen relays what it
    // read before.
    @Test
    void shouldReadTheStoreWhenTheHolderRelaysAnOutdatedRead() {
        followHolder();
        log.add("a");
        pair.await(
                () -> {
                    pair.holder()
                            .publish(
                                    PART,
                                    new RecordBatch(0, List.of(), 0),
                                    ControlThread.nowMillis() - RecordRelay.STALE_MILLIS);
                    return receivedKeys.equals(List.of("a"));
                });
    }

    @Test
    void shouldReadTheStoreAtOnceWhenTheHolderIsLost() {
        followHolder();
        int readsBefore = log.reads();
        pair.onControl(() -> pair.holder().updateHolder(false, Optional.empty()));

        pair.await(() -> log.reads() > readsBefore);
    }

    @Test
    void shouldDeliverEachRecordOnceWhenItIsReadAndRelayed() {
        connectToHolder();
        log.add("a");
        publish(0);
        pair.await(() -> !receivedKeys.isEmpty());

        pair.onControl(log::endWaits);
        pair.onControl(() -> assertThat(receivedKeys).containsExactly("a"));
    }

    // Guards against a return of the store that is noticed more than a second late because a read
    // waits for records while nobody writes. Lapsed entries are kept for a time that runs from the
    // return.
    @Test
    void shouldReportTheStoreAvailableBeforeAnyRecordIsWritten() {
        expectedAvailabilityEvents = List.of("unavailable", "available");

        pair.onControl(log::refuseWaits);

        pair.await(() -> availabilityEvents.equals(expectedAvailabilityEvents));
        pair.await(log::hasWaitingRead);
    }

    // Guards against an outage that is counted twice: the holder sees the store's return first and
    // relays its reads, and then an older read of this process times out. Lapsed entries were then
    // kept once more from that time.
    @Test
    void shouldNotReportAnOutageWhenAnOutdatedReadFails() {
        connectToHolder();

        pair.onControl(log::failWaits);

        pair.onControl(() -> assertThat(availabilityEvents).isEmpty());
        log.add("a");
        publish(0);
        pair.await(() -> receivedKeys.equals(List.of("a")));
    }

    // Guards against requests to a target that left while only this host was cut off: the cut
    // counted as an outage of the store, after which a missing target is kept.
    @Test
    void shouldDateAvailabilityByHolderReadsWhenOnlyThisHostWasCutOff() {
        expectedAvailabilityEvents = List.of("unavailable", "available", "available");
        connectToHolder();
        pair.onControl(log::endWaits);
        pair.await(log::hasWaitingRead);
        pair.onControl(log::refuseWaits);
        pair.await(() -> availabilityEvents.contains("unavailable"));

        long startedAtMillis = ControlThread.nowMillis();
        pair.await(() -> ControlThread.nowMillis() > startedAtMillis + 100);
        pair.onControl(
                () -> {
                    RecordBatch nothing = new RecordBatch(0, List.of(), 0);
                    pair.holder().publish(PART, nothing, startedAtMillis + 10);
                    pair.holder().publish(PART, nothing, startedAtMillis + 20);
                });

        pair.await(() -> availabilityEvents.equals(expectedAvailabilityEvents));
        pair.onControl(
                () ->
                        assertThat(availableAtMillis.get(1))
                                .isIn(Range.closed(startedAtMillis - 1_000, startedAtMillis + 20)));
    }

    // Guards against a follower that keeps an outdated configuration for good: many large records
    // arrived while the process could not read, and each read that did not wait timed out before it
    // had all of them.
    @Test
    void shouldAllowAReadMoreTimeAfterANonWaitingReadFailed() {
        expectedAvailabilityEvents = List.of("unavailable", "available");
        pair.onControl(log::failAtOnce);

        pair.onControl(log::refuseWaits);
        pair.await(log::hasWaitingRead);
        pair.onControl(log::endWaits);

        pair.await(() -> availabilityEvents.equals(expectedAvailabilityEvents));
    }

    /** Returns how long the reads after the given number of reads were to wait. */
    private List<Long> readWaitsSince(int reads) {
        List<Long> waits = new ArrayList<>();
        pair.onControl(() -> waits.addAll(log.waits().subList(reads, log.reads())));
        return waits;
    }

    private void letTimePass(long millis) {
        long startedAtMillis = ControlThread.nowMillis();
        pair.await(() -> ControlThread.nowMillis() > startedAtMillis + millis);
    }

    private void timeOutWaitingReads(boolean onTime) {
        letTimePass(TIMED_OUT_MILLIS);
        pair.onControl(
                () -> {
                    threadsOnTime.set(onTime);
                    log.failWaits();
                });
    }

    /** Makes reads that do not wait hang until the future is completed, and then fail. */
    private CompletableFuture<Void> holdNonWaitingReads() {
        CompletableFuture<Void> givenUp = new CompletableFuture<>();
        pair.onControl(
                () -> {
                    log.holdReads(givenUp);
                    log.failAtOnce();
                });
        return givenUp;
    }

    /** Refreshes beside the waiting read and lets the refresh time out. */
    private void refreshAndTimeOut() {
        CompletableFuture<Void> givenUp = holdNonWaitingReads();
        int readsBefore = log.reads();
        follower.refresh();
        pair.await(() -> log.reads() > readsBefore);
        letTimePass(TIMED_OUT_MILLIS);
        pair.onControl(() -> givenUp.complete(null));
    }

    private void assertNoOutageReported() {
        pair.onControl(() -> assertThat(availabilityEvents).isEmpty());
        assertThat(follower.freshness().unavailableAt()).isEqualTo(DualTimestamp.never());
    }

    @Nested
    class OwnDelay {

        // Guards against stale information that is acted on because this process's own delay counts
        // as an outage.
        @Test
        void shouldRetryWithoutWaitingWhenAReadTimedOutWhileThreadsWereLate() {
            int before = log.reads();

            timeOutWaitingReads(false);
            pair.await(log::hasWaitingRead);

            List<Long> waits = readWaitsSince(before);
            assertThat(waits.get(0)).isEqualTo(0);
            assertThat(waits).contains(1_300L);
            assertNoOutageReported();
        }

        // Guards against an outage that goes unnoticed because it began while threads were late.
        @Test
        void shouldReportAnOutageWhenAReadTimesOutAfterThreadsAreOnTimeAgain() {
            expectedAvailabilityEvents = List.of("unavailable");
            threadsOnTime.set(false);
            refreshAndTimeOut();
            assertNoOutageReported();

            threadsOnTime.set(true);
            refreshAndTimeOut();

            pair.await(() -> availabilityEvents.equals(expectedAvailabilityEvents));
            assertThat(follower.freshness().unavailableAgeMillis(Clocks.now())).isLessThan(60_000);
        }

        // Guards against a refresh that is late because of this process and counts as an outage.
        @Test
        void shouldNotReportAnOutageWhenARefreshTimedOutWhileThreadsWereLate() {
            threadsOnTime.set(false);

            refreshAndTimeOut();

            assertNoOutageReported();
        }
    }

    @Nested
    class SaturatedLink {

        // Guards against stale information that is acted on because a saturated link counts as an
        // outage.
        @Test
        void shouldNotReportAnOutageWhenARefreshTimedOutAndNoOtherHostWasReached() {
            otherHostsReachable.set(false);

            refreshAndTimeOut();

            assertNoOutageReported();
        }

        // Guards against the same fault in the read that follows one that timed out.
        @Test
        void shouldNotReportAnOutageWhenANonWaitingReadTimedOutAndNoOtherHostWasReached() {
            otherHostsReachable.set(false);
            CompletableFuture<Void> givenUp = holdNonWaitingReads();
            int before = log.reads();

            timeOutWaitingReads(true);
            pair.await(() -> log.waits().subList(before, log.reads()).contains(0L));
            letTimePass(TIMED_OUT_MILLIS);
            pair.onControl(() -> givenUp.complete(null));
            pair.await(log::hasWaitingRead);

            assertNoOutageReported();
        }

        // Guards against an outage that goes unnoticed because no read shows it.
        @Test
        void shouldReportAnOutageWhenARefreshTimedOutAndAnotherHostWasReached() {
            expectedAvailabilityEvents = List.of("unavailable");

            refreshAndTimeOut();

            pair.await(() -> availabilityEvents.equals(expectedAvailabilityEvents));
        }

        // Guards against a read that counts as an outage although no other host was contacted
        // during it.
        @Test
        void shouldNotReportAnOutageWhenAWaitingReadTimedOut() {
            int before = log.reads();

            timeOutWaitingReads(true);
            pair.await(() -> log.reads() > before && log.hasWaitingRead());

            assertNoOutageReported();
        }
    }

    @Nested
    class OutdatedRead {

        // Guards against an outage that is reported by a read that started before another read was
        // answered.
        @Test
        void shouldNotReportAnOutageWhenAnotherReadWasAnsweredDuringTheRefresh() {
            CompletableFuture<Void> givenUp = holdNonWaitingReads();
            int before = log.reads();
            follower.refresh();
            pair.await(() -> log.reads() > before);
            letTimePass(TIMED_OUT_MILLIS);

            pair.onControl(log::endWaits);
            pair.await(log::hasWaitingRead);
            pair.onControl(() -> givenUp.complete(null));

            assertNoOutageReported();
        }
    }

    @Nested
    class Refresh {

        // Guards against information that becomes stale while a read waits on a silent connection,
        // and against records that are delivered twice.
        @Test
        void shouldReadDuringAWaitingReadAndDeliverEachRecordOnce() {
            int before = log.reads();
            long askedMillis = ControlThread.nowMillis();
            log.add("a");

            follower.refresh();
            pair.await(() -> receivedKeys.equals(List.of("a")));

            assertThat(readWaitsSince(before).get(0)).isEqualTo(0);
            assertThat(follower.freshness().completeAt().steadyMillis()).isAtLeast(askedMillis);
            pair.onControl(
                    () -> {
                        assertThat(log.hasWaitingRead()).isTrue();
                        log.endWaits();
                    });
            pair.onControl(() -> assertThat(receivedKeys).containsExactly("a"));
        }

        // Guards against one read of the store for each waiting request.
        @Test
        void shouldNotStartASecondRefreshWhileOneIsInProgress() {
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

            assertThat(readWaitsSince(before[0])).containsExactly(0L);
            pair.onControl(() -> go.complete(null));
            pair.onControl(follower::refresh);
            pair.await(() -> log.reads() > before[0] + 1);
        }

        // Guards against an outage that is noticed only when the waiting read has timed out.
        @Test
        void shouldReportAnOutageWhenARefreshFailsWhileThreadsAreOnTime() {
            expectedAvailabilityEvents = List.of("unavailable");
            pair.onControl(log::failAtOnce);

            follower.refresh();

            pair.await(() -> availabilityEvents.equals(expectedAvailabilityEvents));
            pair.onControl(() -> assertThat(log.hasWaitingRead()).isTrue());
        }

        // Guards against information that is refreshed only when a request finds it stale.
        @Test
        void shouldRefreshByItselfWhenInformationBecomesOld() {
            int before = log.reads();
            log.add("a");

            pair.await(() -> receivedKeys.equals(List.of("a")));

            assertThat(readWaitsSince(before).get(0)).isEqualTo(0);
            pair.onControl(() -> assertThat(log.hasWaitingRead()).isTrue());
        }
    }

    @Nested
    class SilentRelay {

        // Guards against a read that waits for records when the information is already old.
        @Test
        void shouldNotWaitInTheFirstReadAfterTheHolderBecameSilent() {
            followHolder();
            int before = log.reads();

            pair.await(() -> log.waits().subList(before, log.reads()).contains(1_300L));

            assertThat(readWaitsSince(before).get(0)).isEqualTo(0);
        }
    }
}
