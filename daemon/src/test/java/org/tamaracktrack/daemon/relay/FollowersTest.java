package org.tamaracktrack.daemon.relay;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.frame.Connection;
import org.tamaracktrack.link.topic.RecordBatch;
import org.tamaracktrack.link.topic.StoreEra;
import org.tamaracktrack.link.topic.TopicPart;

class FollowersTest {
    private static final TopicPart PART = new TopicPart("topic", 0);
    private static final double SMALL_LINK_MEGABITS = 10;
    private static final long BYTES_IN_200_MILLIS = 250_000;

    private final Followers followers =
            Followers.of(new RelayLimits(SMALL_LINK_MEGABITS), StoreEra.unknown());

    /** Keeps what is sent. */
    private static final class Keeping implements Connection {
        private final List<Message.Records> sent = new ArrayList<>();
        private long waiting;
        private boolean takes = true;

        @Override
        public boolean send(Message message) {
            return takes && sent.add((Message.Records) message);
        }

        @Override
        public long queuedBytes() {
            return waiting;
        }

        @Override
        public void close() {
            takes = false;
        }

        @Override
        public boolean isOpen() {
            return takes;
        }

        @Override
        public String remote() {
            return "test";
        }

        private long recordBytes() {
            return sent.stream()
                    .flatMap(message -> message.records().stream())
                    .mapToLong(record -> record.length)
                    .sum();
        }
    }

    private Keeping follower() {
        Keeping connection = new Keeping();
        followers.read(connection, new Message.ClockReading(ControlThread.nowMillis()));
        return connection;
    }

    private List<Keeping> followers(int count) {
        return IntStream.range(0, count).mapToObj(any -> follower()).collect(Collectors.toList());
    }

    private void passOn(long from, int bytes) {
        followers.sendIfRoom(
                PART,
                new RecordBatch(from, List.of(new byte[bytes]), from + 1),
                ControlThread.nowMillis());
    }

    @Test
    void shouldPassOnABatchOfTheUsualSizeToAll() {
        List<Keeping> all = followers(21);

        passOn(0, 2 * 1024);

        all.forEach(follower -> assertThat(follower.recordBytes()).isEqualTo(2 * 1024));
    }

    // Guards against a burst of batches that each fit.
    @Test
    void shouldBoundWhatIsUnderWayToAllTogether() {
        List<Keeping> all = followers(320);
        long beganMillis = ControlThread.nowMillis();

        for (int batch = 0; batch < 50; batch++) {
            passOn(batch, 500);
        }

        long tookMillis = ControlThread.nowMillis() - beganMillis;
        long passedOnBytes = all.stream().mapToLong(Keeping::recordBytes).sum();
        assertThat(passedOnBytes).isGreaterThan(0);
        assertThat(passedOnBytes)
                .isAtMost(BYTES_IN_200_MILLIS + tookMillis * BYTES_IN_200_MILLIS / 400);
        all.forEach(follower -> assertThat(follower.sent).hasSize(50));
    }

    // Guards against one daemon that is frozen taking the others' part.
    @Test
    void shouldKeepRecordsBackOnlyFromTheOneThatTakesNothing() {
        Keeping stuck = follower();
        Keeping other = follower();
        stuck.waiting = BYTES_IN_200_MILLIS / 2;

        passOn(7, 1024);

        assertThat(stuck.sent.get(0).records()).isEmpty();
        assertThat(stuck.sent.get(0).from()).isEqualTo(8);
        assertThat(stuck.takes).isTrue();
        assertThat(other.recordBytes()).isEqualTo(1024);
        assertThat(followers.notPassedOn()).isEqualTo(1);
    }

    // Guards against a daemon that loses its connection by every batch that is larger than what the
    // connection takes.
    @Test
    void shouldKeepRecordsBackWhenTheyAreMoreThanAConnectionTakes() {
        Followers ofLargeHost = Followers.of(new RelayLimits(2_000), StoreEra.unknown());
        Keeping follower = new Keeping();
        ofLargeHost.read(follower, new Message.ClockReading(0));
        int bytes = (int) RelayLimits.CONNECTION_BYTES;

        ofLargeHost.sendIfRoom(PART, new RecordBatch(0, List.of(new byte[bytes]), 1), 0);

        assertThat(follower.sent.get(0).records()).isEmpty();
        assertThat(follower.sent.get(0).from()).isEqualTo(1);
    }

    @Test
    void shouldSayThatThereIsNothingNewWhenThereIsNoRoom() {
        Keeping stuck = follower();
        stuck.waiting = BYTES_IN_200_MILLIS;
        long nowMillis = ControlThread.nowMillis();

        followers.sendIfRoom(PART, new RecordBatch(7, List.of(), 7), nowMillis);

        assertThat(stuck.sent.get(0).wholeAtMillis()).isGreaterThan(0);
        assertThat(followers.notPassedOn()).isEqualTo(0);
    }

    @Test
    void shouldCloseWhoTakesNotEvenANotice() {
        Keeping closed = follower();
        closed.takes = false;
        passOn(0, 1024);
        closed.takes = true;

        passOn(1, 1024);

        assertThat(closed.sent).isEmpty();
    }
}
