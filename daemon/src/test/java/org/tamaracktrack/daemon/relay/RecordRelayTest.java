package org.tamaracktrack.daemon.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.lease.ConditionalLease.Contact;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.topic.RecordBatch;
import org.tamaracktrack.link.topic.TopicPart;

class RecordRelayTest {
    private static final TopicPart PART = new TopicPart("topic", 0);
    private static final byte[] RECORD = "record".getBytes(StandardCharsets.UTF_8);

    /** Occupies the link of 1 Mbit/s for 0.8 s. */
    private static final byte[] LARGE_RECORD = new byte[100_000];

    private final List<RecordBatch> receivedBatches = new ArrayList<>();
    private final List<Long> wholeAtMillis = new ArrayList<>();
    private final List<byte[]> receivedRecords = new ArrayList<>();
    private RelayPair pair;
    private int lossCount;

    @BeforeEach
    void start() throws IOException {
        pair = RelayPair.start(new RelayLimits(1));
        pair.onControl(
                () -> {
                    pair.follower()
                            .onRecords(
                                    PART,
                                    new RecordRelay.Reader() {
                                        @Override
                                        public void onBatch(RecordBatch batch, long wholeAtMillis) {
                                            receivedBatches.add(batch);
                                            RecordRelayTest.this.wholeAtMillis.add(wholeAtMillis);
                                        }

                                        @Override
                                        public void onLost() {
                                            lossCount++;
                                        }
                                    });
                    pair.holder().onFollowerRecord(PART, receivedRecords::add);
                });
    }

    @AfterEach
    void close() {
        pair.close();
    }

    private void publishUntilReceived() {
        pair.await(
                () -> {
                    pair.holder().publish(PART, new RecordBatch(7, List.of(RECORD), 8));
                    return !receivedBatches.isEmpty();
                });
    }

    @Test
    void shouldRelayRecordsOfTheHolder() {
        pair.grantLease();

        publishUntilReceived();

        assertThat(receivedBatches.get(0).from()).isEqualTo(7);
        assertThat(receivedBatches.get(0).end()).isEqualTo(8);
        assertThat(receivedBatches.get(0).records().get(0)).isEqualTo(RECORD);
    }

    // Guards against old records that appear new because their transmission took long.
    @Test
    void shouldRelayTheTimeUpToWhichABatchIsComplete() {
        pair.grantLease();
        publishUntilReceived();

        long readAtMillis = ControlThread.nowMillis() - 5_000;
        pair.onControl(
                () -> pair.holder().publish(PART, new RecordBatch(8, List.of(), 8), readAtMillis));
        pair.await(() -> receivedBatches.get(receivedBatches.size() - 1).from() == 8);

        assertThat(wholeAtMillis.get(wholeAtMillis.size() - 1))
                .isIn(Range.closed(readAtMillis - 1_000, readAtMillis));
    }

    // Guards against records that occupy the link of a small holder for seconds.
    @Test
    void shouldSendANoticeWhenTheLinkHasNoCapacityForTheRecords() {
        pair.grantLease();
        publishUntilReceived();

        pair.onControl(
                () ->
                        pair.holder()
                                .publish(
                                        PART,
                                        new RecordBatch(8, List.of(RECORD, LARGE_RECORD), 20),
                                        ControlThread.nowMillis()));
        pair.await(() -> receivedBatches.get(receivedBatches.size() - 1).end() == 20);

        RecordBatch last = receivedBatches.get(receivedBatches.size() - 1);
        assertThat(last.records()).isEmpty();
        assertThat(last.from()).isEqualTo(10);
        assertThat(wholeAtMillis.get(wholeAtMillis.size() - 1)).isLessThan(0L);
        assertThat(pair.holder().noticeCount()).isEqualTo(1);
    }

    // Guards against losing the models that engines hold, which are not in the store.
    @Test
    void shouldRelayCurrentStateOfAnySize() {
        pair.grantLease();
        publishUntilReceived();

        pair.onControl(
                () -> pair.holder().publish(PART, new RecordBatch(8, List.of(LARGE_RECORD), 9)));
        pair.await(() -> receivedBatches.get(receivedBatches.size() - 1).end() == 9);

        assertThat(receivedBatches.get(receivedBatches.size() - 1).records().get(0))
                .isEqualTo(LARGE_RECORD);
        assertThat(pair.holder().noticeCount()).isEqualTo(0);
    }

    @Test
    void shouldSendToTheHolderAfterReceivingFromIt() {
        pair.grantLease();
        publishUntilReceived();

        pair.onControl(() -> assertThat(pair.follower().sendToHolder(PART, RECORD)).isTrue());

        pair.await(() -> !receivedRecords.isEmpty());
        assertThat(receivedRecords.get(0)).isEqualTo(RECORD);
    }

    // Guards against lost records: the connections of a frozen holder stay open, but it handles no
    // records. The caller has to learn that the record was not sent, and appends it to the log.
    @Test
    void shouldNotSendWhenTheHolderStoppedSending() {
        pair.grantLease();
        publishUntilReceived();

        pair.await(() -> !pair.follower().sendToHolder(PART, RECORD));

        assertThat(lossCount).isEqualTo(0);
    }

    @Test
    void shouldNotSendWhenNobodyHoldsTheLease() {
        pair.onControl(() -> assertThat(pair.follower().sendToHolder(PART, RECORD)).isFalse());
    }

    // The holder releases the lease and sends nothing more. The other daemon has to read the log
    // itself at once, without waiting for the staleness bound.
    @Test
    void shouldReportTheLossWhenTheHolderReleasesTheLease() {
        pair.grantLease();
        publishUntilReceived();

        pair.onControl(() -> pair.holder().updateHolder(false, Optional.empty()));

        pair.await(() -> lossCount == 1);
    }

    @Test
    void shouldRejectAFollowerWithAnotherSecret() {
        Contact real = pair.holder().contact().orElseThrow();
        pair.onControl(() -> pair.holder().updateHolder(true, Optional.empty()));
        pair.onControl(
                () ->
                        pair.follower()
                                .updateHolder(
                                        false,
                                        Optional.of(new Contact(real.address(), "another"))));

        pair.await(() -> lossCount == 1);

        assertThat(receivedBatches).isEmpty();
    }

    @Test
    void shouldContinueWithoutAHolderWhoseAddressIsUnreadable() {
        Optional<Contact> unreadable = Optional.of(new Contact("nowhere", "secret"));
        pair.onControl(() -> pair.follower().updateHolder(false, unreadable));

        pair.onControl(() -> assertThat(pair.follower().sendToHolder(PART, RECORD)).isFalse());
    }
}
