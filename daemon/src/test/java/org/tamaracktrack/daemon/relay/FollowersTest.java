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

    /** Records the messages that are sent. */
    private static final class RecordingConnection implements Connection {
        private final List<Message.Records> sent = new ArrayList<>();
        private long queuedBytes;
        private boolean accepting = true;

        @Override
        public boolean send(Message message) {
            return accepting && sent.add((Message.Records) message);
        }

        @Override
        public long queuedBytes() {
            return queuedBytes;
        }

        @Override
        public void close() {
            accepting = false;
        }

        @Override
        public boolean isOpen() {
            return accepting;
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

    private RecordingConnection follower() {
        RecordingConnection connection = new RecordingConnection();
        followers.recordClockReading(
                connection, new Message.ClockReading(ControlThread.nowMillis()));
        return connection;
    }

    private List<RecordingConnection> followers(int count) {
        return IntStream.range(0, count).mapToObj(any -> follower()).collect(Collectors.toList());
    }

    private void sendBatch(long from, int bytes) {
        followers.sendWithinLimits(
                PART,
                new RecordBatch(from, List.of(new byte[bytes]), from + 1),
                ControlThread.nowMillis());
    }

    @Test
    void shouldSendABatchOfTypicalSizeToAllFollowers() {
        List<RecordingConnection> all = followers(21);

        sendBatch(0, 2 * 1024);

        all.forEach(follower -> assertThat(follower.recordBytes()).isEqualTo(2 * 1024));
    }

    // Guards against a burst of batches that each fit, but exceed the limit together.
    @Test
    void shouldLimitTheTotalBytesInTransit() {
        List<RecordingConnection> all = followers(320);
        long startMillis = ControlThread.nowMillis();

        for (int batch = 0; batch < 50; batch++) {
            sendBatch(batch, 500);
        }

        long elapsedMillis = ControlThread.nowMillis() - startMillis;
        long sentBytes = all.stream().mapToLong(RecordingConnection::recordBytes).sum();
        assertThat(sentBytes).isGreaterThan(0);
        assertThat(sentBytes)
                .isAtMost(BYTES_IN_200_MILLIS + elapsedMillis * BYTES_IN_200_MILLIS / 400);
        all.forEach(follower -> assertThat(follower.sent).hasSize(50));
    }

    // Guards against a frozen daemon that uses up the capacity for the others.
    @Test
    void shouldSendANoticeOnlyToAFollowerWithAFullQueue() {
        RecordingConnection stuck = follower();
        RecordingConnection other = follower();
        stuck.queuedBytes = BYTES_IN_200_MILLIS / 2;

        sendBatch(7, 1024);

        assertThat(stuck.sent.get(0).records()).isEmpty();
        assertThat(stuck.sent.get(0).from()).isEqualTo(8);
        assertThat(stuck.accepting).isTrue();
        assertThat(other.recordBytes()).isEqualTo(1024);
        assertThat(followers.noticeCount()).isEqualTo(1);
    }

    // Guards against a daemon whose connection is closed by each batch that exceeds the connection
    // limit.
    @Test
    void shouldSendANoticeWhenABatchExceedsTheConnectionLimit() {
        Followers ofLargeHost = Followers.of(new RelayLimits(2_000), StoreEra.unknown());
        RecordingConnection follower = new RecordingConnection();
        ofLargeHost.recordClockReading(follower, new Message.ClockReading(0));
        int bytes = (int) RelayLimits.MAXIMUM_CONNECTION_BYTES;

        ofLargeHost.sendWithinLimits(PART, new RecordBatch(0, List.of(new byte[bytes]), 1), 0);

        assertThat(follower.sent.get(0).records()).isEmpty();
        assertThat(follower.sent.get(0).from()).isEqualTo(1);
    }

    @Test
    void shouldSendAnEmptyBatchWhenTheQueueIsFull() {
        RecordingConnection stuck = follower();
        stuck.queuedBytes = BYTES_IN_200_MILLIS;
        long nowMillis = ControlThread.nowMillis();

        followers.sendWithinLimits(PART, new RecordBatch(7, List.of(), 7), nowMillis);

        assertThat(stuck.sent.get(0).wholeAtMillis()).isGreaterThan(0);
        assertThat(followers.noticeCount()).isEqualTo(0);
    }

    @Test
    void shouldCloseAConnectionThatRejectsANotice() {
        RecordingConnection closed = follower();
        closed.accepting = false;
        sendBatch(0, 1024);
        closed.accepting = true;

        sendBatch(1, 1024);

        assertThat(closed.sent).isEmpty();
    }
}
