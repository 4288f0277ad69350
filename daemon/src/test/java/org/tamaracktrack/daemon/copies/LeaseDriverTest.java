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
import org.tamaracktrack.daemon.relay.MemoryLog;
import org.tamaracktrack.daemon.relay.RelayPair;
import org.tamaracktrack.link.topic.TopicPart;

class LeaseDriverTest {
    private static final TopicPart PART = new TopicPart("lease", 0);
    private static final long PAUSE_MILLIS = 3_000;

    private final MemoryLog log = new MemoryLog();
    private RelayPair pair;

    @BeforeEach
    void start() throws IOException {
        pair = RelayPair.start();
    }

    @AfterEach
    void close() {
        pair.close();
    }

    private LeaseDriver driver() {
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

    private LeaseRecord last() {
        return DutyRecords.lease(log.records().get(log.records().size() - 1)).orElseThrow();
    }

    // A planned stop begins while a renewal is on its way. Written at once, the release would
    // expect the log to end before the renewal and be refused; the next holder would wait for the
    // lease to lapse.
    @Test
    void shouldReleaseAfterTheRenewalThatIsOnItsWay() {
        LeaseDriver driver = driver();
        pair.await(driver::holds);
        int before = log.records().size();
        CompletableFuture<Void> go = new CompletableFuture<>();
        pair.onControl(() -> log.holdAppends(go));
        pair.await(() -> log.records().size() > before);

        pair.onControl(
                () -> {
                    CompletableFuture<Void> left = driver.leave();
                    assertThat(left.isDone()).isFalse();
                });
        pair.onControl(() -> go.complete(null));

        pair.await(() -> last().release());
        pair.onControl(() -> assertThat(driver.holds()).isFalse());
    }

    // The answer to a renewal is lost, so the log is read to find out, and a planned stop begins.
    // Written before what was read is taken in, the release would expect the log to end before the
    // renewal and be refused.
    @Test
    void shouldReleaseAfterTheReadThatIsOnItsWay() {
        LeaseDriver driver = driver();
        pair.await(driver::holds);
        CompletableFuture<Void> go = new CompletableFuture<>();
        pair.onControl(
                () -> {
                    log.loseNextAnswer();
                    log.holdReads(go);
                });
        int before = log.reads();
        pair.await(() -> log.reads() > before);

        pair.onControl(driver::leave);
        pair.onControl(() -> go.complete(null));

        pair.await(() -> last().release());
        pair.onControl(() -> assertThat(driver.holds()).isFalse());
    }

    @Test
    void shouldHaveNothingToReleaseWhenAnotherHolds() {
        holderAppends(true);
        LeaseDriver driver = driver();
        pair.await(() -> log.reads() > 0);

        pair.onControl(() -> assertThat(driver.leave().isDone()).isTrue());

        assertThat(log.records()).hasSize(1);
    }

    private void holderAppends(boolean claim) {
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

    private void renew() {
        holderAppends(false);
        pair.holder().publish(PART, log.batch(log.records().size() - 1L));
    }

    private void follow() {
        pair.onControl(() -> pair.holder().holder(true, Optional.empty()));
        pair.onControl(() -> holderAppends(true));
        driver();
        pair.await(
                () -> {
                    renew();
                    return pair.follower().connected();
                });
    }

    @Test
    void shouldReadNothingWhileTheHolderPassesItsRecordsOn() {
        follow();
        int before = log.reads();
        int renewals = log.records().size() + 100;

        // About two seconds, in which the log was read three times before.
        pair.await(
                () -> {
                    renew();
                    return log.records().size() > renewals;
                });

        assertThat(log.reads()).isAtMost(before + 1);
    }

    // The holder's process is killed, which its connections show. The others have to know its last
    // record before they can wait for it to lapse.
    @Test
    void shouldReadTheLogAtOnceWhenTheHolderIsLost() {
        follow();
        int before = log.reads();

        pair.onControl(() -> pair.holder().holder(false, Optional.empty()));

        pair.await(() -> log.reads() > before);
    }

    @Test
    void shouldClaimWhenTheHolderFallsSilent() {
        follow();

        pair.await(() -> last().holder().equals("self") && last().claim());
    }
}
