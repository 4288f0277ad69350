package org.tamaracktrack.daemon.copies;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.lease.ConditionalLease;
import org.tamaracktrack.core.lease.ConditionalLease.LeaseRecord;
import org.tamaracktrack.daemon.relay.InMemoryTopicClient;
import org.tamaracktrack.daemon.relay.RelayPair;
import org.tamaracktrack.link.topic.TopicPart;

class LeaseDriverTest {
    private static final TopicPart PART = new TopicPart("lease", 0);
    private static final long PAUSE_MILLIS = 3_000;

    private final InMemoryTopicClient log = new InMemoryTopicClient();
    private RelayPair pair;

    @BeforeEach
    void start() throws IOException {
        pair = RelayPair.start();
    }

    @AfterEach
    void close() {
        pair.close();
    }

    private LeaseDriver startDriver() {
        return LeaseDriver.start(
                log,
                PART,
                pair.control(),
                ConditionalLease.of(
                        "self",
                        Optional.empty(),
                        pair.follower()::contact,
                        ConditionalLease.Terms.of(PAUSE_MILLIS, 0)),
                pair.follower());
    }

    private LeaseRecord lastRecord() {
        return DutyRecords.decodeLease(log.records().get(log.records().size() - 1)).orElseThrow();
    }

    // A planned stop begins while a renewal is pending. A release sent at once would expect the log
    // to end before the renewal and be rejected, and the next holder would have to wait until the
    // lease expires.
    @Test
    void shouldReleaseAfterAPendingRenewal() {
        LeaseDriver driver = startDriver();
        pair.await(driver::holds);
        int before = log.records().size();
        CompletableFuture<Void> gate = new CompletableFuture<>();
        pair.onControl(() -> log.holdAppends(gate));
        pair.await(() -> log.records().size() > before);

        pair.onControl(
                () -> {
                    CompletableFuture<Void> left = driver.leave();
                    assertThat(left.isDone()).isFalse();
                });
        pair.onControl(() -> gate.complete(null));

        pair.await(() -> lastRecord().release());
        pair.onControl(() -> assertThat(driver.holds()).isFalse());
    }

    // The answer to a renewal is lost, so the log is read, and a planned stop begins. A release
    // sent before the read is complete would expect the log to end before the renewal and be
    // rejected.
    @Test
    void shouldReleaseAfterAPendingRead() {
        LeaseDriver driver = startDriver();
        pair.await(driver::holds);
        CompletableFuture<Void> gate = new CompletableFuture<>();
        pair.onControl(
                () -> {
                    log.loseNextAnswer();
                    log.holdReads(gate);
                });
        int before = log.reads();
        pair.await(() -> log.reads() > before);

        pair.onControl(driver::leave);
        pair.onControl(() -> gate.complete(null));

        pair.await(() -> lastRecord().release());
        pair.onControl(() -> assertThat(driver.holds()).isFalse());
    }

    @Test
    void shouldWriteNoReleaseWhenAnotherDaemonHoldsTheLease() {
        appendAsHolder(true);
        LeaseDriver driver = startDriver();
        pair.await(() -> log.reads() > 0);

        pair.onControl(() -> assertThat(driver.leave().isDone()).isTrue());

        assertThat(log.records()).hasSize(1);
    }

    private void appendAsHolder(boolean claim) {
        log.records()
                .add(
                        DutyRecords.encode(
                                new LeaseRecord(
                                        "other",
                                        0,
                                        claim,
                                        false,
                                        log.records().size(),
                                        pair.holder().contact())));
    }

    private void renewAsHolder() {
        appendAsHolder(false);
        pair.holder().publish(PART, log.batch(log.records().size() - 1L));
    }

    private void startFollower() {
        pair.onControl(() -> pair.holder().updateHolder(true, Optional.empty()));
        pair.onControl(() -> appendAsHolder(true));
        startDriver();
        pair.await(
                () -> {
                    renewAsHolder();
                    return pair.follower().connected();
                });
    }

    @Test
    void shouldNotReadTheLogWhileTheHolderRelaysItsRecords() {
        startFollower();
        int before = log.reads();
        int renewals = log.records().size() + 100;

        // About two seconds, in which a daemon without relayed records reads the log three times.
        pair.await(
                () -> {
                    renewAsHolder();
                    return log.records().size() > renewals;
                });

        assertThat(log.reads()).isAtMost(before + 1);
    }

    // The holder is killed and its connections close. The others have to read its last record
    // before they can wait until the lease expires.
    @Test
    void shouldReadTheLogAtOnceWhenTheConnectionToTheHolderCloses() {
        startFollower();
        int before = log.reads();

        pair.onControl(() -> pair.holder().updateHolder(false, Optional.empty()));

        pair.await(() -> log.reads() > before);
    }

    @Test
    void shouldClaimWhenTheHolderStopsRenewing() {
        startFollower();

        pair.await(() -> lastRecord().holder().equals("self") && lastRecord().claim());
    }
}
