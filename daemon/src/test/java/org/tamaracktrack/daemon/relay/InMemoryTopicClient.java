package org.tamaracktrack.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.tamaracktrack.link.topic.KeyedRecord;
import org.tamaracktrack.link.topic.NewestPage;
import org.tamaracktrack.link.topic.RecordBatch;
import org.tamaracktrack.link.topic.StoreEra;
import org.tamaracktrack.link.topic.TopicAnswer;
import org.tamaracktrack.link.topic.TopicClient;
import org.tamaracktrack.link.topic.TopicPart;

/** An in-memory partition for use on one thread, whose answers can be delayed or lost. */
public final class InMemoryTopicClient implements TopicClient {
    private final StoreEra era = StoreEra.unknown();
    private final List<byte[]> records = new ArrayList<>();
    private final List<PendingRead> pendingReads = new ArrayList<>();
    private CompletableFuture<Void> appendGate = CompletableFuture.completedFuture(null);
    private CompletableFuture<Void> readGate = CompletableFuture.completedFuture(null);
    private boolean losesNextAnswer;
    private boolean failsAtOnce;
    private final List<Long> waits = new ArrayList<>();

    private record PendingRead(long from, CompletableFuture<TopicAnswer<RecordBatch>> answer) {}

    public List<byte[]> records() {
        return records;
    }

    public int reads() {
        return waits.size();
    }

    /** Returns the maximum wait of each read in milliseconds, in the order of the calls. */
    public List<Long> waits() {
        return waits;
    }

    public boolean hasWaitingRead() {
        return !pendingReads.isEmpty();
    }

    /** Adds a record without completing the pending reads. */
    public void add(String text) {
        records.add(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Delays the answers to appends until the future is complete. */
    public void holdAppends(CompletableFuture<Void> gate) {
        appendGate = gate;
    }

    /** Delays the answers to reads until the future is complete. */
    public void holdReads(CompletableFuture<Void> gate) {
        readGate = gate;
    }

    /** Makes the next append take effect without an answer. */
    public void loseNextAnswer() {
        losesNextAnswer = true;
    }

    /** Makes reads without a wait time out. */
    public void failAtOnce() {
        failsAtOnce = true;
    }

    public RecordBatch batch(long from) {
        return new RecordBatch(from, records.subList((int) from, records.size()), records.size());
    }

    /** Completes the pending reads with the records that exist, if any. */
    public void endWaits() {
        List<PendingRead> over = List.copyOf(pendingReads);
        pendingReads.clear();
        over.forEach(read -> read.answer().complete(done(read.from())));
    }

    /** Makes the pending reads time out. */
    public void failWaits() {
        List<PendingRead> lost = List.copyOf(pendingReads);
        pendingReads.clear();
        lost.forEach(read -> read.answer().complete(new TopicAnswer.Unknown<>("timed out")));
    }

    /** Answers the pending reads that the log is unavailable. */
    public void refuseWaits() {
        List<PendingRead> refused = List.copyOf(pendingReads);
        pendingReads.clear();
        refused.forEach(
                read -> read.answer().complete(new TopicAnswer.Unavailable<>("away", true)));
    }

    private TopicAnswer<RecordBatch> done(long from) {
        return new TopicAnswer.Done<>(batch(from));
    }

    @Override
    public StoreEra era() {
        return era;
    }

    @Override
    public CompletableFuture<TopicAnswer<NewestPage>> newest(TopicPart part, String afterKey) {
        return CompletableFuture.completedFuture(
                new TopicAnswer.Done<>(new NewestPage(List.of(), false, records.size())));
    }

    @Override
    public CompletableFuture<TopicAnswer<RecordBatch>> read(
            TopicPart part, long from, long waitMillis) {
        waits.add(waitMillis);
        if (waitMillis == 0 && failsAtOnce) {
            return readGate.thenApply(gate -> new TopicAnswer.Unknown<>("timed out"));
        }
        if (waitMillis == 0 || from < records.size()) {
            return readGate.thenApply(gate -> done(from));
        }
        PendingRead read = new PendingRead(from, new CompletableFuture<>());
        pendingReads.add(read);
        return read.answer();
    }

    /** Decodes a record whose text is its key, followed by a line break and its value if any. */
    @Override
    public Optional<KeyedRecord> keyed(byte[] bytes, long offset) {
        String[] parts = new String(bytes, StandardCharsets.UTF_8).split("\n", 2);
        Optional<byte[]> value =
                parts.length == 1
                        ? Optional.empty()
                        : Optional.of(parts[1].getBytes(StandardCharsets.UTF_8));
        return Optional.of(new KeyedRecord(parts[0], value, offset));
    }

    @Override
    public byte[] keyed(String key, Optional<byte[]> value) {
        String text =
                value.map(bytes -> "\n" + new String(bytes, StandardCharsets.UTF_8)).orElse("");
        return (key + text).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public CompletableFuture<TopicAnswer<Long>> append(
            TopicPart part, List<byte[]> added, OptionalLong expectedEnd) {
        if (expectedEnd.orElse(records.size()) != records.size()) {
            return CompletableFuture.completedFuture(new TopicAnswer.Conflict<>(records.size()));
        }
        long offset = records.size();
        records.addAll(added);
        endWaits();
        if (losesNextAnswer) {
            losesNextAnswer = false;
            return CompletableFuture.completedFuture(new TopicAnswer.Unknown<>("no answer"));
        }
        return appendGate.thenApply(gate -> new TopicAnswer.Done<>(offset));
    }
}
