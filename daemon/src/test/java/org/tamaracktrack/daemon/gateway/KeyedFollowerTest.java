package org.tamaracktrack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.daemon.relay.RelayPair;
import org.tamaracktrack.link.topic.KeyedRecord;
import org.tamaracktrack.link.topic.NewestPage;
import org.tamaracktrack.link.topic.RecordBatch;
import org.tamaracktrack.link.topic.TopicAnswer;
import org.tamaracktrack.link.topic.TopicClient;
import org.tamaracktrack.link.topic.TopicPart;

class KeyedFollowerTest {
    private static final TopicPart PART = new TopicPart("keyed", 0);

    private final List<String> records = new ArrayList<>();
    private final List<CompletableFuture<TopicAnswer<RecordBatch>>> waiting = new ArrayList<>();
    private final List<String> heard = new ArrayList<>();
    private RelayPair pair;
    private int reads;

    /** A log on the control thread: a read that finds nothing waits until it is answered. */
    private final class Log implements TopicClient {
        @Override
        public CompletableFuture<TopicAnswer<NewestPage>> newest(TopicPart part, String afterKey) {
            return CompletableFuture.completedFuture(
                    new TopicAnswer.Done<>(new NewestPage(List.of(), false, 0)));
        }

        @Override
        public CompletableFuture<TopicAnswer<RecordBatch>> read(
                TopicPart part, long from, long waitMillis) {
            reads++;
            if (from < records.size()) {
                return CompletableFuture.completedFuture(new TopicAnswer.Done<>(batch(from)));
            }
            CompletableFuture<TopicAnswer<RecordBatch>> answer = new CompletableFuture<>();
            waiting.add(answer);
            return answer;
        }

        @Override
        public Optional<KeyedRecord> keyed(byte[] bytes, long offset) {
            return Optional.of(
                    new KeyedRecord(
                            new String(bytes, StandardCharsets.UTF_8), Optional.empty(), offset));
        }

        @Override
        public CompletableFuture<TopicAnswer<Long>> append(
                TopicPart part, List<byte[]> added, OptionalLong expectedEnd) {
            throw new AssertionError("a follower writes nothing");
        }
    }

    private RecordBatch batch(long from) {
        List<byte[]> bytes =
                records.subList((int) from, records.size()).stream()
                        .map(text -> text.getBytes(StandardCharsets.UTF_8))
                        .collect(Collectors.toList());
        return new RecordBatch(from, bytes, records.size());
    }

    @BeforeEach
    void start() throws IOException {
        pair = RelayPair.start();
        pair.onControl(
                () ->
                        KeyedFollower.start(
                                new Log(),
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
                                        throw new AssertionError("the log is never away here");
                                    }

                                    @Override
                                    public void onBack() {
                                        throw new AssertionError("the log is never away here");
                                    }
                                },
                                pair.follower()));
        pair.await(() -> waiting.size() == 1);
    }

    @AfterEach
    void close() {
        pair.close();
    }

    private void answerWaiting() {
        pair.onControl(
                () -> {
                    waiting.forEach(
                            answer ->
                                    answer.complete(new TopicAnswer.Done<>(batch(records.size()))));
                    waiting.clear();
                });
    }

    private void publish(long from) {
        pair.onControl(() -> pair.holder().publish(PART, batch(from)));
    }

    /** The holder is heard of, and the read that waited from before is over. */
    private void follow() {
        pair.hold();
        pair.await(
                () -> {
                    pair.holder().publish(PART, batch(0));
                    return pair.follower().tell(PART, new byte[0]);
                });
        answerWaiting();
    }

    @Test
    void shouldReadNothingWhileTheHolderPassesRecordsOn() {
        follow();
        int before = reads;

        records.add("a");
        publish(0);
        pair.await(() -> heard.equals(List.of("a")));
        records.add("b");
        publish(1);
        pair.await(() -> heard.equals(List.of("a", "b")));

        assertThat(reads).isEqualTo(before);
    }

    // The connection was lost for a moment and a record with it. The next one that is passed on
    // does not follow the last one known, so the log is read, and nothing is heard out of order.
    @Test
    void shouldReadTheLogWhenRecordsWereNotPassedOn() {
        follow();
        records.addAll(List.of("a", "b", "c"));

        publish(2);

        pair.await(() -> heard.equals(List.of("a", "b", "c")));
    }

    // The holder is frozen: its connections stay open, and it passes nothing on. A change has to
    // be seen within two seconds all the same.
    @Test
    void shouldReadTheLogWhenTheHolderFallsSilent() {
        follow();
        int before = reads;

        records.add("a");
        pair.await(() -> heard.equals(List.of("a")));

        assertThat(reads).isGreaterThan(before);
    }

    @Test
    void shouldReadTheLogAtOnceWhenTheHolderIsLost() {
        follow();
        int before = reads;
        pair.onControl(() -> pair.holder().holder(false, Optional.empty()));

        pair.await(() -> reads > before);
    }

    @Test
    void shouldHearEachRecordOnceWhenItIsReadAndPassedOn() {
        pair.hold();
        pair.await(
                () -> {
                    pair.holder().publish(PART, batch(0));
                    return pair.follower().tell(PART, new byte[0]);
                });
        records.add("a");
        publish(0);
        pair.await(() -> !heard.isEmpty());

        pair.onControl(
                () -> waiting.forEach(answer -> answer.complete(new TopicAnswer.Done<>(batch(0)))));
        pair.onControl(() -> assertThat(heard).containsExactly("a"));
    }
}
