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
import org.tamaracktrack.core.quarantine.Hold;
import org.tamaracktrack.core.quarantine.PartFingerprint;
import org.tamaracktrack.core.quarantine.Quarantine;
import org.tamaracktrack.core.quarantine.QuarantineRegister;
import org.tamaracktrack.core.quarantine.Suspect;
import org.tamaracktrack.core.quarantine.SuspectTrial;
import org.tamaracktrack.core.quarantine.TargetEnd;
import org.tamaracktrack.daemon.gateway.KeyedFollower;
import org.tamaracktrack.daemon.gateway.TargetEndListener;
import org.tamaracktrack.daemon.gateway.TrialAuthority;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.topic.KeyedRecord;
import org.tamaracktrack.link.topic.TopicAnswer;
import org.tamaracktrack.link.topic.TopicClient;
import org.tamaracktrack.link.topic.TopicPart;

/**
 * Shares between all daemons the suspects during which targets ended. No daemon sees all attempts
 * of a request that is repeated, so each writes the ends that it sees to the store, from which
 * daemons that start later read them too. Confined to the control thread, unless stated otherwise.
 *
 * <p>Permits of trials are appended under the condition that this daemon has read all records, so
 * that no two daemons grant one on the same evidence.
 */
public final class QuarantineExchange
        implements TargetEndListener, TrialAuthority, KeyedFollower.Listener {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.quarantine");

    /** Period of writes, so that ends close together are written by one call. */
    private static final long WRITE_PERIOD_MILLIS = 200;

    private static final long EXPIRY_PERIOD_MILLIS = 30_000;
    private static final long TRIAL_CHECK_PERIOD_MILLIS = 1_000;

    /** A record has about 200 bytes, and a call may have several megabytes. */
    private static final int MAXIMUM_RECORDS_PER_CALL = 1_000;

    /** Limit of records kept while the store can't be written; the oldest are dropped first. */
    private static final int MAXIMUM_UNWRITTEN_RECORDS = 10_000;

    private final TopicClient topics;
    private final TopicPart part;
    private final ControlThread control;
    private final BooleanSupplier leads;
    private final Consumer<Quarantine> listener;
    private final QuarantineRegister quarantineRegister = QuarantineRegister.empty();
    private final Map<String, Optional<byte[]>> unwritten = new LinkedHashMap<>();
    private final Map<String, EndRecord> writtenRecords = LruMap.of(MAXIMUM_UNWRITTEN_RECORDS);
    private final Map<String, TrialRecord> grantedTrials = LruMap.of(MAXIMUM_UNWRITTEN_RECORDS);
    private volatile Quarantine quarantine = Quarantine.empty();
    private OptionalLong position = OptionalLong.empty();
    private boolean writing;
    private boolean grantingTrial;

    private QuarantineExchange(
            TopicClient topics,
            TopicPart part,
            ControlThread control,
            BooleanSupplier leads,
            Consumer<Quarantine> listener) {
        this.topics = topics;
        this.part = part;
        this.control = control;
        this.leads = leads;
        this.listener = listener;
    }

    /**
     * Starts an exchange.
     *
     * @param topics the store
     * @param part the partition of ends, of which the store keeps the newest record of each key
     * @param control the thread that the exchange is confined to
     * @param leads returns whether this daemon is the one that removes expired ends
     * @param listener receives the quarantine whenever it changes
     * @return the exchange
     */
    public static QuarantineExchange start(
            TopicClient topics,
            TopicPart part,
            ControlThread control,
            BooleanSupplier leads,
            Consumer<Quarantine> listener) {
        Objects.requireNonNull(topics, "topics is null");
        Objects.requireNonNull(listener, "listener is null");
        QuarantineExchange exchange =
                new QuarantineExchange(topics, part, control, leads, listener);
        control.every(WRITE_PERIOD_MILLIS, exchange::write);
        control.every(EXPIRY_PERIOD_MILLIS, exchange::expire);
        control.every(TRIAL_CHECK_PERIOD_MILLIS, exchange::publishIfChanged);
        return exchange;
    }

    /**
     * Returns the suspects during which targets ended. Safe for use by any thread.
     *
     * @return the suspects, and which of them are not sent to any target
     */
    public Quarantine quarantine() {
        return quarantine;
    }

    /** Safe for use by any thread. */
    @Override
    public void onTargetEnded(List<TargetEnd> ends) {
        control.post(() -> recordEnds(ends));
    }

    /** Safe for use by any thread. */
    @Override
    public void onAnswered(Suspect suspect) {
        control.post(() -> clear(suspect));
    }

    /** Safe for use by any thread. */
    @Override
    public void request(Set<Suspect> suspects, Consumer<Optional<Permit>> listener) {
        Objects.requireNonNull(suspects, "suspects is null");
        Objects.requireNonNull(listener, "listener is null");
        control.post(() -> grantTrial(suspects, listener));
    }

    private void grantTrial(Set<Suspect> suspects, Consumer<Optional<Permit>> listener) {
        List<TrialRecord> records =
                quarantineRegister.nextTrials(suspects, System.currentTimeMillis()).stream()
                        .map(TrialRecord::new)
                        .collect(Collectors.toList());
        if (records.isEmpty() || !mayAppend(records)) {
            listener.accept(Optional.empty());
            return;
        }
        grantingTrial = true;
        List<byte[]> encoded =
                records.stream()
                        .map(record -> topics.keyed(record.key(), Optional.of(record.value())))
                        .collect(Collectors.toList());
        topics.append(part, encoded, position)
                .thenAccept(
                        answer -> control.post(() -> onTrialWritten(records, answer, listener)));
    }

    // A pending removal of an earlier permit would remove the new one.
    private boolean mayAppend(List<TrialRecord> records) {
        return !grantingTrial
                && position.isPresent()
                && records.stream().noneMatch(record -> unwritten.containsKey(record.key()));
    }

    // A permit that may have been written is not used; it counts once it is read.
    private void onTrialWritten(
            List<TrialRecord> records,
            TopicAnswer<Long> answer,
            Consumer<Optional<Permit>> listener) {
        grantingTrial = false;
        if (!(answer instanceof TopicAnswer.Done<Long>)) {
            if (answer instanceof TopicAnswer.Conflict<Long>) {
                // Nothing is granted until the records that this daemon lacks have been read.
                position = OptionalLong.empty();
            }
            LOG.info("event=trial-not-granted answer=" + answer);
            listener.accept(Optional.empty());
            return;
        }
        records.forEach(
                record -> {
                    quarantineRegister.addTrial(record.trial());
                    grantedTrials.put(record.key(), record);
                    LOG.info("event=trial-granted key=" + record.key());
                });
        publishIfChanged();
        listener.accept(Optional.of(() -> control.post(() -> giveBack(records))));
    }

    private void giveBack(List<TrialRecord> records) {
        records.forEach(
                record ->
                        quarantineRegister.removeTrial(
                                record.trial().suspect(), record.trial().number()));
        enqueueTrialRemovals(records.stream().map(TrialRecord::trial).collect(Collectors.toList()));
        publishIfChanged();
    }

    private void enqueueTrialRemovals(List<SuspectTrial> trials) {
        trials.stream()
                .map(trial -> new TrialRecord(trial).key())
                .forEach(key -> enqueueWrite(key, Optional.empty()));
    }

    private void clear(Suspect suspect) {
        enqueueTrialRemovals(quarantineRegister.removeTrials(suspect));
        List<TargetEnd> ends = quarantineRegister.removeAll(suspect);
        if (quarantine.isHeld(suspect)) {
            LOG.info("event=quarantine-lifted suspect=" + suspect.key() + " ends=" + ends.size());
        }
        enqueueRemovals(ends);
    }

    /**
     * Forgets the ends of targets during some suspects at the operator's word. Safe for use by any
     * thread.
     *
     * @param suspects the requests and parts
     */
    public void release(Set<Suspect> suspects) {
        suspects.forEach(this::onAnswered);
    }

    private void recordEnds(List<TargetEnd> ends) {
        long nowMillis = System.currentTimeMillis();
        ends.stream()
                .filter(end -> quarantineRegister.add(end, nowMillis))
                .map(end -> new EndRecord(end, nowMillis))
                .forEach(this::enqueueWrite);
        publishIfChanged();
    }

    private void enqueueWrite(EndRecord record) {
        String key = EndRecord.key(record.end());
        writtenRecords.put(key, record);
        enqueueWrite(key, Optional.of(record.value()));
    }

    private void enqueueRemovals(List<TargetEnd> ends) {
        ends.forEach(end -> enqueueWrite(EndRecord.key(end), Optional.empty()));
        publishIfChanged();
    }

    private void enqueueWrite(String key, Optional<byte[]> value) {
        unwritten.remove(key);
        unwritten.put(key, value);
        if (unwritten.size() > MAXIMUM_UNWRITTEN_RECORDS) {
            String oldest = unwritten.keySet().iterator().next();
            unwritten.remove(oldest);
            LOG.warn("event=end-not-written key=" + oldest);
        }
    }

    private void expire() {
        if (leads.getAsBoolean()) {
            long nowMillis = System.currentTimeMillis();
            enqueueTrialRemovals(quarantineRegister.expireTrials(nowMillis));
            enqueueRemovals(quarantineRegister.expire(nowMillis));
        }
    }

    private void write() {
        if (writing || unwritten.isEmpty()) {
            return;
        }
        writing = true;
        Map<String, Optional<byte[]>> batch = new LinkedHashMap<>();
        unwritten.entrySet().stream()
                .limit(MAXIMUM_RECORDS_PER_CALL)
                .forEach(entry -> batch.put(entry.getKey(), entry.getValue()));
        List<byte[]> records =
                batch.entrySet().stream()
                        .map(entry -> topics.keyed(entry.getKey(), entry.getValue()))
                        .collect(Collectors.toList());
        topics.append(part, records, OptionalLong.empty())
                .thenAccept(answer -> control.post(() -> onWritten(batch, answer)));
    }

    // Writes are idempotent, so records that may not have been written are written again.
    private void onWritten(Map<String, Optional<byte[]>> batch, TopicAnswer<Long> answer) {
        writing = false;
        if (answer instanceof TopicAnswer.Done<Long>) {
            batch.forEach(unwritten::remove);
        } else {
            LOG.info("event=ends-not-written records=" + batch.size() + " answer=" + answer);
        }
    }

    // A listing without records that this daemon wrote comes from a store restored from a copy.
    @Override
    public void onListing(List<KeyedRecord> records) {
        onRecords(records);
        Set<String> listed = records.stream().map(KeyedRecord::key).collect(Collectors.toSet());
        List<EndRecord> missing =
                writtenRecords.values().stream()
                        .filter(record -> !listed.contains(EndRecord.key(record.end())))
                        .filter(record -> quarantineRegister.contains(record.end()))
                        .collect(Collectors.toList());
        missing.forEach(this::enqueueWrite);
        List<TrialRecord> missingTrials =
                grantedTrials.values().stream()
                        .filter(record -> !listed.contains(record.key()))
                        .filter(record -> quarantineRegister.contains(record.trial()))
                        .collect(Collectors.toList());
        missingTrials.forEach(record -> enqueueWrite(record.key(), Optional.of(record.value())));
        if (!missing.isEmpty() || !missingTrials.isEmpty()) {
            LOG.warn(
                    "event=ends-written-again records="
                            + missing.size()
                            + " trials="
                            + missingTrials.size());
        }
    }

    @Override
    public void onRecords(List<KeyedRecord> records) {
        records.forEach(this::applyRecord);
        publishIfChanged();
    }

    private void applyRecord(KeyedRecord record) {
        if (unwritten.containsKey(record.key())) {
            dropIfWritten(record);
            // The pending write of this daemon is newer.
            return;
        }
        Optional<SuspectTrial> trial = TrialRecord.parseKey(record.key());
        if (trial.isPresent()) {
            applyTrial(record, trial.get());
        } else {
            applyEnd(record);
        }
    }

    private void applyTrial(KeyedRecord record, SuspectTrial trial) {
        record.value()
                .flatMap(value -> TrialRecord.of(record.key(), value))
                .ifPresentOrElse(
                        granted -> quarantineRegister.addTrial(granted.trial()),
                        () -> quarantineRegister.removeTrial(trial.suspect(), trial.number()));
    }

    private void applyEnd(KeyedRecord record) {
        Optional<EndRecord> decoded =
                record.value().flatMap(value -> EndRecord.of(record.key(), value));
        decoded.ifPresent(end -> quarantineRegister.add(end.end(), end.atMillis()));
        if (record.value().isEmpty()) {
            EndRecord.parseKey(record.key())
                    .ifPresent(end -> quarantineRegister.remove(end.suspect(), end.target()));
        } else if (decoded.isEmpty()) {
            LOG.warn("event=end-unreadable key=" + record.key() + " offset=" + record.offset());
        }
    }

    // All daemons that have answered a part remove its ends at about the same time.
    private void dropIfWritten(KeyedRecord record) {
        if (record.value().isEmpty() && unwritten.get(record.key()).isEmpty()) {
            unwritten.remove(record.key());
        }
    }

    private void publishIfChanged() {
        Quarantine newQuarantine = quarantineRegister.quarantine(System.currentTimeMillis());
        if (newQuarantine.equals(quarantine)) {
            return;
        }
        Quarantine previous = quarantine;
        newQuarantine.held().entrySet().stream()
                .filter(held -> !previous.isHeld(held.getKey()))
                .forEach(held -> logHeld(held.getKey(), held.getValue()));
        LOG.info(
                "event=quarantine suspects="
                        + newQuarantine.suspects().size()
                        + " held="
                        + newQuarantine.held().size());
        quarantine = newQuarantine;
        listener.accept(newQuarantine);
    }

    private static void logHeld(Suspect suspect, Hold hold) {
        LOG.warn(
                "event="
                        + (suspect instanceof PartFingerprint ? "part" : "request")
                        + "-quarantined fingerprint="
                        + suspect
                        + " targets_ended="
                        + hold.ends()
                        + " running="
                        + hold.runningEnds());
    }

    @Override
    public void onPosition(OptionalLong nextOffset) {
        position = nextOffset;
    }

    @Override
    public void onStoreUnavailable() {
        // The quarantine stays in force; new ends are written when the store is available again.
    }

    @Override
    public void onStoreAvailable(long returnedAtMillis) {
        // The records that follow bring the quarantine up to date.
    }
}
