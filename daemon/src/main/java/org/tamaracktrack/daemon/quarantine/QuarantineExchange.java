package org.tamaracktrack.daemon.quarantine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.dispatch.LruMap;
import org.tamaracktrack.core.quarantine.Quarantine;
import org.tamaracktrack.core.quarantine.QuarantineRegister;
import org.tamaracktrack.core.quarantine.RequestFingerprint;
import org.tamaracktrack.core.quarantine.TargetEnd;
import org.tamaracktrack.daemon.gateway.KeyedFollower;
import org.tamaracktrack.daemon.gateway.TargetEndListener;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.topic.KeyedRecord;
import org.tamaracktrack.link.topic.TopicAnswer;
import org.tamaracktrack.link.topic.TopicClient;
import org.tamaracktrack.link.topic.TopicPart;

/**
 * Brings every daemon to know under which requests targets end. No daemon sees all attempts of a
 * request that comes again; what each sees is kept in the store, where daemons that start later
 * find it too. On the control thread, but where it says otherwise.
 */
public final class QuarantineExchange implements TargetEndListener, KeyedFollower.Listener {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.quarantine");

    /** Ends at one moment are written by one call. */
    private static final long WRITE_EVERY_MILLIS = 200;

    private static final long EXPIRE_EVERY_MILLIS = 30_000;

    /** A record takes some 200 bytes, and a call may have some megabytes. */
    private static final int MOST_RECORDS_A_CALL = 1_000;

    /** What can't be written for long is given up, the oldest first. */
    private static final int MOST_UNWRITTEN = 10_000;

    private final TopicClient topics;
    private final TopicPart part;
    private final ControlThread control;
    private final BooleanSupplier expires;
    private final Consumer<Quarantine> changed;
    private final QuarantineRegister register = QuarantineRegister.empty();
    private final Map<String, Optional<byte[]>> unwritten = new LinkedHashMap<>();
    private final Map<String, EndRecord> written = LruMap.of(MOST_UNWRITTEN);
    private volatile Quarantine quarantine = Quarantine.empty();
    private boolean writing;

    private QuarantineExchange(
            TopicClient topics,
            TopicPart part,
            ControlThread control,
            BooleanSupplier expires,
            Consumer<Quarantine> changed) {
        this.topics = topics;
        this.part = part;
        this.control = control;
        this.expires = expires;
        this.changed = changed;
    }

    /**
     * Starts an exchange.
     *
     * @param topics the store
     * @param part where ends are kept, the newest record of each key
     * @param control the thread that it belongs to
     * @param expires whether this daemon is the one that removes what is too old
     * @param changed takes the requests that targets have ended under, whenever they change
     * @return the exchange
     */
    public static QuarantineExchange start(
            TopicClient topics,
            TopicPart part,
            ControlThread control,
            BooleanSupplier expires,
            Consumer<Quarantine> changed) {
        Objects.requireNonNull(topics, "topics is null");
        Objects.requireNonNull(changed, "changed is null");
        QuarantineExchange exchange =
                new QuarantineExchange(topics, part, control, expires, changed);
        control.every(WRITE_EVERY_MILLIS, exchange::write);
        control.every(EXPIRE_EVERY_MILLIS, exchange::expire);
        return exchange;
    }

    /**
     * Returns the requests that targets have ended under. May be asked by any thread.
     *
     * @return the requests, and which of them are sent to no target
     */
    public Quarantine quarantine() {
        return quarantine;
    }

    /** Safe for use by any thread. */
    @Override
    public void onTargetEnded(List<TargetEnd> ends) {
        control.post(() -> ended(ends));
    }

    /** Safe for use by any thread. */
    @Override
    public void onRequestAnswered(RequestFingerprint request) {
        control.post(() -> forget(register.removeAll(request)));
    }

    private void ended(List<TargetEnd> ends) {
        long nowMillis = System.currentTimeMillis();
        ends.stream()
                .filter(end -> register.add(end, nowMillis))
                .map(end -> new EndRecord(end, nowMillis))
                .forEach(this::toWrite);
        tell();
    }

    private void toWrite(EndRecord record) {
        String key = EndRecord.key(record.end());
        written.put(key, record);
        toWrite(key, Optional.of(record.value()));
    }

    private void forget(List<TargetEnd> ends) {
        ends.forEach(end -> toWrite(EndRecord.key(end), Optional.empty()));
        tell();
    }

    private void toWrite(String key, Optional<byte[]> value) {
        unwritten.remove(key);
        unwritten.put(key, value);
        if (unwritten.size() > MOST_UNWRITTEN) {
            String oldest = unwritten.keySet().iterator().next();
            unwritten.remove(oldest);
            LOG.warn("event=end-not-written key=" + oldest);
        }
    }

    private void expire() {
        if (expires.getAsBoolean()) {
            forget(register.expire(System.currentTimeMillis()));
        }
    }

    private void write() {
        if (writing || unwritten.isEmpty()) {
            return;
        }
        writing = true;
        Map<String, Optional<byte[]>> batch = new LinkedHashMap<>();
        unwritten.entrySet().stream()
                .limit(MOST_RECORDS_A_CALL)
                .forEach(entry -> batch.put(entry.getKey(), entry.getValue()));
        List<byte[]> records =
                batch.entrySet().stream()
                        .map(entry -> topics.keyed(entry.getKey(), entry.getValue()))
                        .collect(Collectors.toList());
        topics.append(part, records, OptionalLong.empty())
                .thenAccept(answer -> control.post(() -> written(batch, answer)));
    }

    // Written twice a record says the same, so what may not have been written is written again.
    private void written(Map<String, Optional<byte[]>> batch, TopicAnswer<Long> answer) {
        writing = false;
        if (answer instanceof TopicAnswer.Done<Long>) {
            batch.forEach(unwritten::remove);
        } else {
            LOG.info("event=ends-not-written records=" + batch.size() + " answer=" + answer);
        }
    }

    // A listing that lacks what this daemon wrote comes from a store that went back to a copy.
    @Override
    public void onListing(List<KeyedRecord> records) {
        onRecords(records);
        Set<String> listed = records.stream().map(KeyedRecord::key).collect(Collectors.toSet());
        List<EndRecord> lost =
                written.values().stream()
                        .filter(record -> !listed.contains(EndRecord.key(record.end())))
                        .filter(record -> register.contains(record.end()))
                        .collect(Collectors.toList());
        lost.forEach(this::toWrite);
        if (!lost.isEmpty()) {
            LOG.warn("event=ends-written-again records=" + lost.size());
        }
    }

    @Override
    public void onRecords(List<KeyedRecord> records) {
        records.forEach(this::take);
        tell();
    }

    private void take(KeyedRecord record) {
        if (unwritten.containsKey(record.key())) {
            // What this daemon is about to write is newer.
            return;
        }
        Optional<EndRecord> known =
                record.value().flatMap(value -> EndRecord.of(record.key(), value));
        known.ifPresent(end -> register.add(end.end(), end.atMillis()));
        if (record.value().isEmpty()) {
            EndRecord.end(record.key())
                    .ifPresent(end -> register.remove(end.request(), end.target()));
        } else if (known.isEmpty()) {
            LOG.warn("event=end-unreadable key=" + record.key() + " offset=" + record.offset());
        }
    }

    private void tell() {
        Quarantine newer = register.quarantine();
        if (newer.equals(quarantine)) {
            return;
        }
        Set<RequestFingerprint> before = quarantine.held();
        newer.held().stream()
                .filter(request -> !before.contains(request))
                .forEach(
                        request ->
                                LOG.warn(
                                        "event=request-quarantined fingerprint="
                                                + request
                                                + " targets_ended="
                                                + register.endCount(request)));
        LOG.info(
                "event=quarantine suspects="
                        + newer.suspects().size()
                        + " held="
                        + newer.held().size());
        quarantine = newer;
        changed.accept(newer);
    }

    @Override
    public void onStoreUnavailable() {
        // What is known holds; what is seen meanwhile is written when the store is back.
    }

    @Override
    public void onStoreAvailable(long returnedAtMillis) {
        // The records that follow bring it up to date.
    }
}
