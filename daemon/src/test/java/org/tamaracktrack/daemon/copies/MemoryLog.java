package org.tamaracktrack.daemon.copies;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.tamaracktrack.link.topic.KeyedRecord;
import org.tamaracktrack.link.topic.NewestPage;
import org.tamaracktrack.link.topic.RecordBatch;
import org.tamaracktrack.link.topic.TopicAnswer;
import org.tamaracktrack.link.topic.TopicClient;
import org.tamaracktrack.link.topic.TopicPart;

/** A partition in memory, used on one thread, whose answers to appends can be held back. */
final class MemoryLog implements TopicClient {
    private final List<byte[]> records = new ArrayList<>();
    private Optional<CompletableFuture<Void>> held = Optional.empty();
    private int reads;

    List<byte[]> records() {
        return records;
    }

    int reads() {
        return reads;
    }

    /** Appends are answered only once the future is complete. */
    void hold(CompletableFuture<Void> go) {
        held = Optional.of(go);
    }

    RecordBatch batch(long from) {
        return new RecordBatch(from, records.subList((int) from, records.size()), records.size());
    }

    @Override
    public CompletableFuture<TopicAnswer<NewestPage>> newest(TopicPart part, String afterKey) {
        throw new AssertionError("no keys are kept here");
    }

    @Override
    public CompletableFuture<TopicAnswer<RecordBatch>> read(
            TopicPart part, long from, long waitMillis) {
        reads++;
        return CompletableFuture.completedFuture(new TopicAnswer.Done<>(batch(from)));
    }

    @Override
    public Optional<KeyedRecord> keyed(byte[] bytes, long offset) {
        return Optional.empty();
    }

    @Override
    public CompletableFuture<TopicAnswer<Long>> append(
            TopicPart part, List<byte[]> added, OptionalLong expectedEnd) {
        if (expectedEnd.orElse(records.size()) != records.size()) {
            return CompletableFuture.completedFuture(new TopicAnswer.Conflict<>(records.size()));
        }
        long offset = records.size();
        records.addAll(added);
        return held.orElse(CompletableFuture.completedFuture(null))
                .thenApply(go -> new TopicAnswer.Done<>(offset));
    }
}
