package org.tamaracktrack.daemon.stream;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.SoftwareVersion;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.codec.JsonFields;
import org.tamaracktrack.link.topic.KeyedRecord;
import org.tamaracktrack.link.topic.NewestPage;
import org.tamaracktrack.link.topic.TopicAnswer;
import org.tamaracktrack.link.topic.TopicClient;
import org.tamaracktrack.link.topic.TopicPart;

/**
 * Keeps in the store which software versions of each service have served recently. A daemon reads
 * them once after its start: the registry lists the targets of the moment only, and all daemons may
 * have ended while the last target of a version left. One daemon at a time writes them when they
 * change. Confined to the control thread.
 */
public final class ServedVersions {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.streams");
    private static final long TICK_MILLIS = 200;

    /** Pause after a read that failed. */
    private static final long RETRY_MILLIS = 500;

    private static final String VERSIONS = "versions";
    private static final String FIRST_PAGE = "";

    private final TopicClient topics;
    private final TopicPart part;
    private final ControlThread control;
    private final BooleanSupplier mayWrite;
    private final Supplier<Map<ServiceId, Set<SoftwareVersion>>> recentVersions;
    private final Consumer<Map<ServiceId, Set<SoftwareVersion>>> listener;
    private final Map<ServiceId, Set<SoftwareVersion>> stored = new HashMap<>();
    private boolean read;
    private boolean writing;

    private ServedVersions(
            TopicClient topics,
            TopicPart part,
            ControlThread control,
            BooleanSupplier mayWrite,
            Supplier<Map<ServiceId, Set<SoftwareVersion>>> recentVersions,
            Consumer<Map<ServiceId, Set<SoftwareVersion>>> listener) {
        this.topics = topics;
        this.part = part;
        this.control = control;
        this.mayWrite = mayWrite;
        this.recentVersions = recentVersions;
        this.listener = listener;
    }

    /**
     * Starts to read and write.
     *
     * @param topics the store
     * @param part the partition of versions, of which the store keeps the newest record of each
     *     service
     * @param control the thread that it is confined to
     * @param mayWrite returns whether this daemon is the one that writes
     * @param recentVersions returns the recent versions that this daemon knows, by service
     * @param listener receives the stored versions once, after the start
     */
    public static void start(
            TopicClient topics,
            TopicPart part,
            ControlThread control,
            BooleanSupplier mayWrite,
            Supplier<Map<ServiceId, Set<SoftwareVersion>>> recentVersions,
            Consumer<Map<ServiceId, Set<SoftwareVersion>>> listener) {
        Objects.requireNonNull(topics, "topics is null");
        Objects.requireNonNull(listener, "listener is null");
        ServedVersions versions =
                new ServedVersions(topics, part, control, mayWrite, recentVersions, listener);
        topics.era().addRestoreListener(() -> control.post(versions.stored::clear));
        control.post(() -> versions.read(FIRST_PAGE));
        control.every(TICK_MILLIS, versions::writeChanges);
    }

    private void read(String afterKey) {
        topics.newest(part, afterKey)
                .thenAccept(answer -> control.post(() -> handlePage(afterKey, answer)));
    }

    private void handlePage(String afterKey, TopicAnswer<NewestPage> answer) {
        if (!(answer instanceof TopicAnswer.Done<NewestPage> done)) {
            control.after(RETRY_MILLIS, () -> read(afterKey));
            return;
        }
        List<KeyedRecord> records = done.value().records();
        records.forEach(this::accept);
        if (done.value().more() && !records.isEmpty()) {
            read(records.get(records.size() - 1).key());
            return;
        }
        read = true;
        LOG.info("event=served-versions read=" + stored);
        listener.accept(Map.copyOf(stored));
    }

    private void accept(KeyedRecord record) {
        try {
            record.value()
                    .flatMap(JsonFields::parse)
                    .map(ServedVersions::decode)
                    .ifPresent(versions -> stored.put(ServiceId.of(record.key()), versions));
        } catch (TamaracktrackException unreadable) {
            LOG.warn("event=served-versions-unreadable key=" + record.key());
        }
    }

    private static Set<SoftwareVersion> decode(JsonNode fields) {
        return JsonFields.elements(fields, VERSIONS)
                .map(version -> SoftwareVersion.of(version.asText()))
                .collect(Collectors.toSet());
    }

    private static byte[] encode(Set<SoftwareVersion> versions) {
        return JsonFields.write(
                Map.of(
                        VERSIONS,
                        versions.stream()
                                .map(SoftwareVersion::value)
                                .sorted()
                                .collect(Collectors.toList())));
    }

    private void writeChanges() {
        if (!read || writing || !mayWrite.getAsBoolean()) {
            return;
        }
        Map<ServiceId, Set<SoftwareVersion>> changed = new HashMap<>(recentVersions.get());
        changed.entrySet().removeIf(entry -> entry.getValue().equals(stored.get(entry.getKey())));
        if (changed.isEmpty()) {
            return;
        }
        writing = true;
        List<byte[]> records = new ArrayList<>();
        changed.forEach(
                (service, versions) ->
                        records.add(topics.keyed(service.value(), Optional.of(encode(versions)))));
        topics.append(part, records, OptionalLong.empty())
                .thenAccept(answer -> control.post(() -> handleWritten(changed, answer)));
    }

    // A write without an answer is repeated at the next tick.
    private void handleWritten(
            Map<ServiceId, Set<SoftwareVersion>> changed, TopicAnswer<Long> answer) {
        writing = false;
        if (answer instanceof TopicAnswer.Done<Long>) {
            stored.putAll(changed);
            LOG.info("event=served-versions written=" + changed);
        }
    }
}
