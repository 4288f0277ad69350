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

/** A partition in memory, used on one thread, whose answers can be held back or lost. */
public final class MemoryLog implements TopicClient {
    private final StoreEra era = StoreEra.unknown();
    private final List<byte[]> records = new ArrayList<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private CompletableFuture<Void> appends = CompletableFuture.completedFuture(null);
    private CompletableFuture<Void> readsGo = CompletableFuture.completedFuture(null);
    private boolean losesNextAnswer;
    private boolean failsAtOnce;
    private final List<Long> waits = new ArrayList<>();

    private record Waiting(long from, CompletableFuture<TopicAnswer<RecordBatch>> answer) {}

    public List<byte[]> records() {
        return records;
    }

    public int reads() {
        return waits.size();
    }

    /** How long each read was to wait, in the order in which they were asked. */
    public List<Long> waits() {
        return waits;
    }

    public boolean hasWaitingRead() {
        return !waiting.isEmpty();
    }

    /** Adds a record without a word to the reads that wait. */
    public void add(String text) {
        records.add(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Appends are answered only once the future is complete. */
    public void holdAppends(CompletableFuture<Void> go) {
        appends = go;
    }

    /** Reads are answered only once the future is complete. */
    public void holdReads(CompletableFuture<Void> go) {
        readsGo = go;
    }

    /** The next append is written, and nobody hears of it. */
    public void loseNextAnswer() {
        losesNextAnswer = true;
    }

    /** Reads that don't wait are given up before they are answered. */
    public void failAtOnce() {
        failsAtOnce = true;
    }

    public RecordBatch batch(long from) {
        return new RecordBatch(from, records.subList((int) from, records.size()), records.size());
    }

    /** The time of the reads that wait is over. */
    public void endWaits() {
        List<Waiting> over = List.copyOf(waiting);
        waiting.clear();
        over.forEach(read -> read.answer().complete(done(read.from())));
    }

    /** The reads that wait find the log away. */
    public void failWaits() {
        List<Waiting> lost = List.copyOf(waiting);
        waiting.clear();
        lost.forEach(read -> read.answer().complete(new TopicAnswer.Unknown<>("timed out")));
    }

    /** The reads that wait are told that the log is away. */
    public void refuseWaits() {
        List<Waiting> refused = List.copyOf(waiting);
        waiting.clear();
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
            return readsGo.thenApply(go -> new TopicAnswer.Unknown<>("timed out"));
        }
        if (waitMillis == 0 || from < records.size()) {
            return readsGo.thenApply(go -> done(from));
        }
        Waiting read = new Waiting(from, new CompletableFuture<>());
        waiting.add(read);
        return read.answer();
    }

    /** A record's text is its key, with its value after a line break if it has one. */
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
        return appends.thenApply(go -> new TopicAnswer.Done<>(offset));
    }
}
