package org.tamaracktrack.daemon.stream;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.SoftwareVersion;
import org.tamaracktrack.core.stream.OriginMember;
import org.tamaracktrack.core.stream.OriginMessage;
import org.tamaracktrack.core.stream.StreamOrigin;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.codec.JsonFields;
import org.tamaracktrack.link.topic.KeyedRecord;
import org.tamaracktrack.link.topic.NewestPage;
import org.tamaracktrack.link.topic.TopicAnswer;
import org.tamaracktrack.link.topic.TopicClient;
import org.tamaracktrack.link.topic.TopicPart;

/**
 * Keeps in the store where recent streams began, while their service has several software versions.
 * A daemon reads it once after its start, since all daemons may have ended together. Each daemon
 * writes what it began into a ring of records, so that old ones are replaced. Confined to the
 * control thread, but for the methods that say otherwise.
 */
public final class StoredOrigins implements OriginMember.Archive {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.streams");

    /** Streams that began within it before all daemons end are unknown afterwards. */
    private static final long WRITE_INTERVAL_MILLIS = 200;

    /** Keeps the sum of all daemons below a sixth of the calls that the store takes. */
    private static final long WRITE_INTERVAL_MILLIS_PER_DAEMON = 5;

    /** How far the records of a daemon reach back. */
    private static final long RING_MILLIS = 64_000;

    private static final int MAX_STREAMS_PER_RECORD = 500;

    /** Pause after a call that failed. */
    private static final long RETRY_MILLIS = 500;

    private static final String FIRST_PAGE = "";

    private final TopicClient topics;
    private final TopicPart part;
    private final ControlThread control;
    private final String keyPrefix;
    private final IntSupplier daemonCount;
    private final Queue<OriginMessage.Begun> unwritten = new ConcurrentLinkedQueue<>();
    private final Deque<List<OriginMessage.Begun>> written = new ArrayDeque<>();
    private int nextRecord;
    private long nextWriteMillis;
    private boolean writeScheduled;
    private boolean writing;
    private int readStreams;

    private StoredOrigins(
            TopicClient topics,
            TopicPart part,
            ControlThread control,
            String self,
            IntSupplier daemonCount) {
        this.topics = topics;
        this.part = part;
        this.control = control;
        this.keyPrefix = self + '/';
        this.daemonCount = daemonCount;
    }

    /**
     * Returns the stored origins of a daemon, before they are read or written.
     *
     * @param topics the store
     * @param part the partition of origins, of which the store keeps the newest record of each key
     * @param control the thread that they are confined to
     * @param self the address of this daemon, which names its records
     * @param daemonCount returns the number of daemons; safe for use by any thread
     * @return the stored origins
     */
    public static StoredOrigins of(
            TopicClient topics,
            TopicPart part,
            ControlThread control,
            String self,
            IntSupplier daemonCount) {
        Objects.requireNonNull(topics, "topics is null");
        Objects.requireNonNull(self, "self is null");
        return new StoredOrigins(topics, part, control, self, daemonCount);
    }

    /**
     * Starts to read and write. Safe for use by any thread.
     *
     * @param listener receives the stored origins after the start, in parts
     */
    public void start(Consumer<Collection<OriginMessage.Begun>> listener) {
        Objects.requireNonNull(listener, "listener is null");
        topics.era().addRestoreListener(() -> control.post(this::writeAgain));
        control.post(() -> read(FIRST_PAGE, listener));
    }

    @Override
    public void add(List<OriginMessage.Begun> streams) {
        unwritten.addAll(streams);
        control.post(this::scheduleWrite);
    }

    private void read(String afterKey, Consumer<Collection<OriginMessage.Begun>> listener) {
        topics.newest(part, afterKey)
                .thenAccept(answer -> control.post(() -> handlePage(afterKey, answer, listener)));
    }

    private void handlePage(
            String afterKey,
            TopicAnswer<NewestPage> answer,
            Consumer<Collection<OriginMessage.Begun>> listener) {
        if (!(answer instanceof TopicAnswer.Done<NewestPage> done)) {
            control.after(RETRY_MILLIS, () -> read(afterKey, listener));
            return;
        }
        List<KeyedRecord> records = done.value().records();
        List<OriginMessage.Begun> streams =
                records.stream().flatMap(StoredOrigins::decode).collect(Collectors.toList());
        readStreams += streams.size();
        listener.accept(streams);
        if (done.value().more() && !records.isEmpty()) {
            read(records.get(records.size() - 1).key(), listener);
        } else {
            LOG.info("event=stored-origins read=" + readStreams);
        }
    }

    private static Stream<OriginMessage.Begun> decode(KeyedRecord record) {
        try {
            return record.value().flatMap(JsonFields::parse).stream()
                    .flatMap(StoredOrigins::decodeServices)
                    .collect(Collectors.toList())
                    .stream();
        } catch (TamaracktrackException unreadable) {
            LOG.warn("event=stored-origins-unreadable key=" + record.key());
            return Stream.empty();
        }
    }

    private static Stream<OriginMessage.Begun> decodeServices(JsonNode services) {
        return stream(services)
                .flatMap(
                        service ->
                                decodeVersions(ServiceId.of(service.getKey()), service.getValue()));
    }

    private static Stream<OriginMessage.Begun> decodeVersions(
            ServiceId service, JsonNode versions) {
        return stream(versions)
                .flatMap(
                        version ->
                                decodeAttempts(
                                        version.getValue(),
                                        new StreamOrigin(
                                                service, SoftwareVersion.of(version.getKey()))));
    }

    private static Stream<OriginMessage.Begun> decodeAttempts(
            JsonNode attempts, StreamOrigin origin) {
        return StreamSupport.stream(attempts.spliterator(), false)
                .map(attempt -> new OriginMessage.Begun(attempt.asText(), origin));
    }

    private static Stream<Map.Entry<String, JsonNode>> stream(JsonNode fields) {
        Iterable<Map.Entry<String, JsonNode>> entries = fields::fields;
        return StreamSupport.stream(entries.spliterator(), false);
    }

    private static byte[] encode(List<OriginMessage.Begun> streams) {
        return JsonFields.write(
                streams.stream()
                        .collect(
                                Collectors.groupingBy(
                                        begun -> begun.origin().service().value(),
                                        Collectors.groupingBy(
                                                begun -> begun.origin().version().value(),
                                                Collectors.mapping(
                                                        OriginMessage.Begun::attempt,
                                                        Collectors.toList())))));
    }

    // The store that comes back from a copy lacks what was written last.
    private void writeAgain() {
        written.forEach(unwritten::addAll);
        written.clear();
        scheduleWrite();
    }

    private long intervalMillis() {
        return Math.max(
                WRITE_INTERVAL_MILLIS, daemonCount.getAsInt() * WRITE_INTERVAL_MILLIS_PER_DAEMON);
    }

    private int ringSize() {
        return (int) (RING_MILLIS / intervalMillis());
    }

    private void scheduleWrite() {
        if (!writeScheduled && !writing && !unwritten.isEmpty()) {
            writeScheduled = true;
            long waitMillis = Math.max(0, nextWriteMillis - ControlThread.nowMillis());
            control.after(waitMillis, this::writePending);
        }
    }

    private void writePending() {
        writeScheduled = false;
        nextWriteMillis = ControlThread.nowMillis() + intervalMillis();
        write(takeUnwritten());
    }

    private List<OriginMessage.Begun> takeUnwritten() {
        List<OriginMessage.Begun> streams = new ArrayList<>();
        while (streams.size() < MAX_STREAMS_PER_RECORD && !unwritten.isEmpty()) {
            streams.add(unwritten.remove());
        }
        return streams;
    }

    private void write(List<OriginMessage.Begun> streams) {
        writing = true;
        String key = keyPrefix + nextRecord;
        nextRecord = (nextRecord + 1) % ringSize();
        topics.append(
                        part,
                        List.of(topics.keyed(key, Optional.of(encode(streams)))),
                        OptionalLong.empty())
                .thenAccept(answer -> control.post(() -> handleWritten(streams, answer)));
    }

    private void handleWritten(List<OriginMessage.Begun> streams, TopicAnswer<Long> answer) {
        writing = false;
        if (answer instanceof TopicAnswer.Done<Long>) {
            written.add(streams);
            if (written.size() > ringSize()) {
                written.remove();
            }
        } else {
            unwritten.addAll(streams);
            nextWriteMillis = ControlThread.nowMillis() + RETRY_MILLIS;
        }
        scheduleWrite();
    }
}
