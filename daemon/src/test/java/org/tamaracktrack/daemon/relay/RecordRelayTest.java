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

    /** Takes 0.8 s of the link. */
    private static final byte[] LARGE_RECORD = new byte[100_000];

    private final List<RecordBatch> heard = new ArrayList<>();
    private final List<Long> wholeAtMillis = new ArrayList<>();
    private final List<byte[]> told = new ArrayList<>();
    private RelayPair pair;
    private int lost;

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
                                            heard.add(batch);
                                            RecordRelayTest.this.wholeAtMillis.add(wholeAtMillis);
                                        }

                                        @Override
                                        public void onLost() {
                                            lost++;
                                        }
                                    });
                    pair.holder().onTold(PART, told::add);
                });
    }

    @AfterEach
    void close() {
        pair.close();
    }

    private void publishUntilHeard() {
        pair.await(
                () -> {
                    pair.holder().publish(PART, new RecordBatch(7, List.of(RECORD), 8));
                    return !heard.isEmpty();
                });
    }

    @Test
    void shouldPassOnWhatTheHolderReads() {
        pair.hold();

        publishUntilHeard();

        assertThat(heard.get(0).from()).isEqualTo(7);
        assertThat(heard.get(0).end()).isEqualTo(8);
        assertThat(heard.get(0).records().get(0)).isEqualTo(RECORD);
    }

    // Guards against old records that count as new because they were long on their way.
    @Test
    void shouldDateABatchByTheTimeUpToWhichItIsWhole() {
        pair.hold();
        publishUntilHeard();

        long readAtMillis = ControlThread.nowMillis() - 5_000;
        pair.onControl(
                () -> pair.holder().publish(PART, new RecordBatch(8, List.of(), 8), readAtMillis));
        pair.await(() -> heard.get(heard.size() - 1).from() == 8);

        assertThat(wholeAtMillis.get(wholeAtMillis.size() - 1))
                .isIn(Range.closed(readAtMillis - 1_000, readAtMillis));
    }

    // Guards against records that keep the link of a small holder from all else for seconds.
    @Test
    void shouldTellOnlyWhereToReadWhenTheLinkHasNoRoomForTheRecords() {
        pair.hold();
        publishUntilHeard();

        pair.onControl(
                () ->
                        pair.holder()
                                .publish(
                                        PART,
                                        new RecordBatch(8, List.of(RECORD, LARGE_RECORD), 20),
                                        ControlThread.nowMillis()));
        pair.await(() -> heard.get(heard.size() - 1).end() == 20);

        RecordBatch last = heard.get(heard.size() - 1);
        assertThat(last.records()).isEmpty();
        assertThat(last.from()).isEqualTo(10);
        assertThat(wholeAtMillis.get(wholeAtMillis.size() - 1)).isLessThan(0L);
        assertThat(pair.holder().notPassedOn()).isEqualTo(1);
    }

    // Guards against what engines hold being lost: no store has it.
    @Test
    void shouldPassOnWhatHoldsNowWhateverItsSize() {
        pair.hold();
        publishUntilHeard();

        pair.onControl(
                () -> pair.holder().publish(PART, new RecordBatch(8, List.of(LARGE_RECORD), 9)));
        pair.await(() -> heard.get(heard.size() - 1).end() == 9);

        assertThat(heard.get(heard.size() - 1).records().get(0)).isEqualTo(LARGE_RECORD);
        assertThat(pair.holder().notPassedOn()).isEqualTo(0);
    }

    @Test
    void shouldTellTheHolderOnceItWasHeardOf() {
        pair.hold();
        publishUntilHeard();

        pair.onControl(() -> assertThat(pair.follower().tell(PART, RECORD)).isTrue());

        pair.await(() -> !told.isEmpty());
        assertThat(told.get(0)).isEqualTo(RECORD);
    }

    // A holder that is frozen keeps its connections. What is told to it then would be lost, so the
    // caller has to hear that it wasn't told, and appends it to the log.
    @Test
    void shouldNotTellWhenTheHolderFellSilent() {
        pair.hold();
        publishUntilHeard();

        pair.await(() -> !pair.follower().tell(PART, RECORD));

        assertThat(lost).isEqualTo(0);
    }

    @Test
    void shouldNotTellWhenNobodyHolds() {
        pair.onControl(() -> assertThat(pair.follower().tell(PART, RECORD)).isFalse());
    }

    // The holder gives the lease up. Nothing more comes from it, and the other daemon must not
    // wait for silence to be noticed before it reads the log itself.
    @Test
    void shouldSayLostWhenTheHolderNoLongerHolds() {
        pair.hold();
        publishUntilHeard();

        pair.onControl(() -> pair.holder().holder(false, Optional.empty()));

        pair.await(() -> lost == 1);
    }

    @Test
    void shouldNotServeWhoDoesNotKnowTheSecret() {
        Contact real = pair.holder().contact().orElseThrow();
        pair.onControl(() -> pair.holder().holder(true, Optional.empty()));
        pair.onControl(
                () ->
                        pair.follower()
                                .holder(
                                        false,
                                        Optional.of(new Contact(real.address(), "another"))));

        pair.await(() -> lost == 1);

        assertThat(heard).isEmpty();
    }

    @Test
    void shouldGoOnWithoutAHolderWhoseAddressCannotBeRead() {
        Optional<Contact> unreadable = Optional.of(new Contact("nowhere", "secret"));
        pair.onControl(() -> pair.follower().holder(false, unreadable));

        pair.onControl(() -> assertThat(pair.follower().tell(PART, RECORD)).isFalse());
    }
}
