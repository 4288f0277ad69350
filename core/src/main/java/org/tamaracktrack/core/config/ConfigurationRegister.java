package org.tamaracktrack.core.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import org.tamaracktrack.core.config.ConfigurationEvent.Accepted;
import org.tamaracktrack.core.config.ConfigurationEvent.Breach;
import org.tamaracktrack.core.config.ConfigurationEvent.Doubled;
import org.tamaracktrack.core.config.ConfigurationEvent.Gap;
import org.tamaracktrack.core.config.ConfigurationEvent.Invalid;
import org.tamaracktrack.core.config.ConfigurationEvent.InvariantBroken;
import org.tamaracktrack.core.config.ConfigurationEvent.LaterFormat;
import org.tamaracktrack.core.config.ConfigurationEvent.OfferTaken;
import org.tamaracktrack.core.config.ConfigurationEvent.SnapshotAgrees;
import org.tamaracktrack.core.config.ConfigurationEvent.SnapshotTaken;
import org.tamaracktrack.core.config.ConfigurationEvent.SnapshotUnused;
import org.tamaracktrack.core.config.ConfigurationEvent.Superseded;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.log.LogEntry.ConfigurationSnapshot;
import org.tamaracktrack.core.log.LogEntry.Publication;
import org.tamaracktrack.core.log.LogRecord;

/**
 * Decides which configuration is in force, from the records of the configuration stream in offset
 * order. The log can't compare and set, so every reader applies the same rule: a publication is
 * accepted when it is based on the version in force at its offset and its document is valid; its
 * offset is then the version. Not safe for use by several threads.
 */
public final class ConfigurationRegister {
    private static final int MAXIMUM_WAITING = 1_000;

    private final DocumentParser parser;
    private final AcceptedHistory history = new AcceptedHistory();
    private final TreeSet<Long> unreadable = new TreeSet<>();
    private final Deque<LogRecord> waiting = new ArrayDeque<>();
    private Optional<InForce> confirmed = Optional.empty();
    private Optional<InForce> offered = Optional.empty();
    private long next;
    private boolean started = true;
    private long waitingFrom;
    private boolean following;

    private ConfigurationRegister(DocumentParser parser) {
        this.parser = parser;
    }

    /**
     * Returns a register that has read nothing.
     *
     * @param parser parses documents; the same one at every reader
     * @return the register
     */
    public static ConfigurationRegister of(DocumentParser parser) {
        Objects.requireNonNull(parser, "parser is null");
        return new ConfigurationRegister(parser);
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration; empty while none is known
     */
    public Optional<InForce> inForce() {
        return offered.isPresent() ? offered : confirmed;
    }

    /**
     * Returns the version that the log shows to be in force.
     *
     * @return the version, -1 for none
     */
    public long confirmedVersion() {
        return confirmed.map(InForce::version).orElse(-1L);
    }

    /**
     * Returns the offset of the next record.
     *
     * @return the offset
     */
    public long nextOffset() {
        return next;
    }

    /**
     * Returns whether records expired unread, and no snapshot has been found to go on from.
     *
     * @return true when a snapshot is needed
     */
    public boolean awaitsSnapshot() {
        return !started;
    }

    /**
     * Returns whether every record there was has been read, and the log could be read last.
     *
     * @return true when the log is followed
     */
    public boolean isFollowing() {
        return following;
    }

    /**
     * Returns a snapshot of what the log shows to be in force, for others to start from.
     *
     * @return the snapshot; empty when this reader does not know enough to write one
     */
    public Optional<ConfigurationSnapshot> snapshot() {
        return confirmed
                .filter(known -> started)
                .map(
                        known ->
                                new ConfigurationSnapshot(
                                        next,
                                        known.version(),
                                        known.document(),
                                        history.publications()));
    }

    /**
     * Takes the next record.
     *
     * @param record the record
     * @return what came of it; empty for a record that was read before
     */
    public List<ConfigurationEvent> handle(LogRecord record) {
        Objects.requireNonNull(record, "record is null");
        if (record.offset() < next) {
            return List.of();
        }
        List<ConfigurationEvent> events = new ArrayList<>();
        skipUnreadable();
        if (record.offset() > next) {
            events.addAll(gap(record.offset()));
        }
        next = record.offset() + 1;
        if (started) {
            events.addAll(judge(record));
        } else {
            events.addAll(seekStart(record));
        }
        events.addAll(checkOffer());
        return events;
    }

    /**
     * Hears of a record that is not understood. Every reader passes over it alike.
     *
     * @param offset its offset
     */
    public void handleUnreadable(long offset) {
        if (offset >= next) {
            unreadable.add(offset);
        }
    }

    /**
     * Hears that records have expired.
     *
     * @param firstOffset the oldest record there still is
     * @return what came of it
     */
    // Passing over expired records would leave this reader with a version that others know to be
    // superseded, and would have it accept what they reject: it must take a snapshot instead.
    public List<ConfigurationEvent> gap(long firstOffset) {
        skipUnreadable();
        if (firstOffset <= next) {
            return List.of();
        }
        ConfigurationEvent event = new Gap(next, firstOffset);
        next = firstOffset;
        awaitSnapshotFrom(firstOffset);
        return List.of(event);
    }

    /**
     * Hears that every record there was has been handed over.
     *
     * @param nextOffset the offset of the record to be appended next
     * @return what came of it
     */
    public List<ConfigurationEvent> caughtUp(long nextOffset) {
        skipUnreadable();
        following = started && nextOffset == next;
        return nextOffset < next
                ? List.of(new InvariantBroken(Breach.LOG_WENT_BACK, nextOffset))
                : checkOffer();
    }

    /** Hears that the log can't be read. */
    public void unreachable() {
        following = false;
    }

    /**
     * Takes a configuration that a peer says is in force. It holds until the log says more.
     *
     * @param version its version
     * @param document its document
     * @return what came of it; empty when it is not taken
     */
    // A reader that follows the log learns all there is from it within moments; a peer's word
    // counts only where there is nothing better. A superseded offer has a lower version: not taken.
    public List<ConfigurationEvent> offer(long version, String document) {
        Objects.requireNonNull(document, "document is null");
        if (following || version <= inForce().map(InForce::version).orElse(-1L)) {
            return List.of();
        }
        if (started && version < next) {
            return List.of(new InvariantBroken(Breach.OFFER_CONTRADICTED, version));
        }
        Optional<ConfigurationReading.Accepted> reading = valid(document);
        if (reading.isEmpty()) {
            return List.of(new InvariantBroken(Breach.OFFER_CONTRADICTED, version));
        }
        offered = Optional.of(new InForce(version, document, reading.get().configuration(), false));
        return List.of(new OfferTaken(version));
    }

    private void skipUnreadable() {
        while (unreadable.remove(next)) {
            next++;
        }
        unreadable.headSet(next).clear();
    }

    private void awaitSnapshotFrom(long offset) {
        started = false;
        following = false;
        waitingFrom = offset;
        waiting.clear();
    }

    private List<ConfigurationEvent> judge(LogRecord record) {
        if (record.entry() instanceof Publication publication) {
            return List.of(judge(record, publication));
        }
        if (record.entry() instanceof ConfigurationSnapshot snapshot) {
            return List.of(check(record, snapshot));
        }
        return List.of();
    }

    private ConfigurationEvent judge(LogRecord record, Publication publication) {
        if (!history.see(publication.publication())) {
            return new Doubled(record, publication);
        }
        if (publication.basedOn() != confirmedVersion()) {
            return new Superseded(record, publication, confirmedVersion());
        }
        Optional<Map<String, Object>> tree = parsed(publication.document());
        if (tree.filter(ConfigurationReader::isOfLaterFormat).isPresent()) {
            awaitSnapshotFrom(next);
            return new LaterFormat(record);
        }
        ConfigurationReading reading =
                tree.map(ConfigurationReader::read).orElseGet(ConfigurationRegister::notParsed);
        if (reading instanceof ConfigurationReading.Accepted accepted) {
            boolean taken =
                    confirm(
                            new InForce(
                                    record.offset(),
                                    publication.document(),
                                    accepted.configuration(),
                                    true));
            return taken
                    ? new Accepted(record, publication, accepted.warnings())
                    : new InvariantBroken(Breach.VERSION_NOT_HIGHER, record.offset());
        }
        return new Invalid(
                record, publication, ((ConfigurationReading.Rejected) reading).problems());
    }

    private ConfigurationEvent check(LogRecord record, ConfigurationSnapshot snapshot) {
        if (!history.knows(snapshot.upTo())) {
            return new SnapshotUnused(record);
        }
        boolean agrees =
                snapshot.upTo() <= record.offset()
                        && history.inForceBefore(snapshot.upTo())
                                .filter(entry -> entry.getKey() == snapshot.version())
                                .filter(entry -> entry.getValue().equals(snapshot.document()))
                                .isPresent();
        return agrees
                ? new SnapshotAgrees(record, snapshot.upTo())
                : new InvariantBroken(Breach.SNAPSHOT_DISAGREES, snapshot.version());
    }

    // Records between the snapshot's bound and the snapshot itself were appended while it was being
    // written: they are kept until a start is found, and judged after it.
    private List<ConfigurationEvent> seekStart(LogRecord record) {
        if (record.entry() instanceof ConfigurationSnapshot snapshot) {
            return start(record, snapshot);
        }
        if (record.entry() instanceof Publication) {
            waiting.addLast(record);
            if (waiting.size() > MAXIMUM_WAITING) {
                waitingFrom = waiting.removeFirst().offset() + 1;
            }
        }
        return List.of();
    }

    private List<ConfigurationEvent> start(LogRecord record, ConfigurationSnapshot snapshot) {
        if (snapshot.upTo() < waitingFrom
                || snapshot.upTo() > record.offset()
                || snapshot.version() >= snapshot.upTo()
                || snapshot.version() < 0) {
            return List.of(new SnapshotUnused(record));
        }
        Optional<ConfigurationReading.Accepted> reading = valid(snapshot.document());
        if (reading.isEmpty()) {
            return List.of(new SnapshotUnused(record));
        }
        if (contradicts(snapshot)) {
            return List.of(new InvariantBroken(Breach.SNAPSHOT_DISAGREES, snapshot.version()));
        }
        List<LogRecord> later =
                waiting.stream().filter(kept -> kept.offset() >= snapshot.upTo()).toList();
        started = true;
        waiting.clear();
        history.restart(snapshot.upTo(), snapshot.recentPublications());
        history.accept(snapshot.version(), snapshot.document());
        if (snapshot.version() > confirmedVersion()) {
            confirm(
                    new InForce(
                            snapshot.version(),
                            snapshot.document(),
                            reading.get().configuration(),
                            true));
        }
        List<ConfigurationEvent> events = new ArrayList<>();
        events.add(new SnapshotTaken(record, snapshot.version()));
        later.forEach(kept -> events.addAll(judge(kept)));
        return events;
    }

    // A reader that goes on from a snapshot below what it has had in force would go back in time;
    // one with the same version and another document would differ from every other reader.
    private boolean contradicts(ConfigurationSnapshot snapshot) {
        boolean older = snapshot.version() < confirmedVersion();
        boolean differs =
                confirmed
                        .filter(known -> known.version() == snapshot.version())
                        .filter(known -> !known.document().equals(snapshot.document()))
                        .isPresent();
        boolean notPublished =
                snapshot.version() >= waitingFrom
                        && waiting.stream()
                                .noneMatch(
                                        kept ->
                                                kept.offset() == snapshot.version()
                                                        && isDocumentOf(kept, snapshot));
        return older || differs || notPublished;
    }

    private static boolean isDocumentOf(LogRecord record, ConfigurationSnapshot snapshot) {
        return record.entry()
                .asPublication()
                .filter(publication -> publication.document().equals(snapshot.document()))
                .isPresent();
    }

    // A daemon that woke from a pause, or read an old copy of the log, would put an older
    // configuration back in force and callers would lose what they had been promised. Versions are
    // offsets and records come in order, so one comparison at the only place that sets it is
    // enough.
    private boolean confirm(InForce candidate) {
        if (candidate.version() <= confirmedVersion()) {
            return false;
        }
        confirmed = Optional.of(candidate);
        history.accept(candidate.version(), candidate.document());
        return true;
    }

    // The log is the authority: once it has been read past an offered version, the offer is either
    // in the log or was never in force.
    private List<ConfigurationEvent> checkOffer() {
        if (offered.isEmpty() || !started || next <= offered.get().version()) {
            return List.of();
        }
        InForce offer = offered.get();
        offered = Optional.empty();
        boolean shown =
                offer.version() < confirmedVersion()
                        ? !history.knows(offer.version())
                                || history.accepted(offer.version(), offer.document())
                        : history.accepted(offer.version(), offer.document());
        return shown
                ? List.of()
                : List.of(new InvariantBroken(Breach.OFFER_CONTRADICTED, offer.version()));
    }

    private Optional<ConfigurationReading.Accepted> valid(String document) {
        return parsed(document)
                .map(ConfigurationReader::read)
                .filter(ConfigurationReading.Accepted.class::isInstance)
                .map(ConfigurationReading.Accepted.class::cast);
    }

    private Optional<Map<String, Object>> parsed(String document) {
        try {
            return Optional.of(parser.parse(document));
        } catch (TamaracktrackException failure) {
            return Optional.empty();
        }
    }

    private static ConfigurationReading notParsed() {
        return new ConfigurationReading.Rejected(
                List.of(
                        new Problem(
                                "",
                                "text that is not a JSON map",
                                "a JSON map",
                                ProblemKind.WRONG_TYPE)));
    }
}
