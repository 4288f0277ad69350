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
 * Determines which configuration is in force from the records of the configuration stream, read in
 * offset order. The log has no compare-and-set operation, so every reader applies the same rule: a
 * publication is accepted when it is based on the version in force at its offset and its document
 * is valid; its offset then becomes the version. Not thread-safe.
 */
public final class ConfigurationRegister {
    private static final int MAXIMUM_BUFFERED_RECORDS = 1_000;

    private final DocumentParser parser;
    private final AcceptedHistory history = new AcceptedHistory();
    private final TreeSet<Long> unreadableOffsets = new TreeSet<>();
    private final Deque<LogRecord> bufferedRecords = new ArrayDeque<>();
    private Optional<ConfigurationInForce> confirmed = Optional.empty();
    private Optional<ConfigurationInForce> offered = Optional.empty();
    private long nextOffset;
    private boolean hasCompleteState = true;
    private long bufferedFrom;
    private boolean following;

    private ConfigurationRegister(DocumentParser parser) {
        this.parser = parser;
    }

    /**
     * Returns a register that has not read any record yet.
     *
     * @param parser parses documents; must behave identically at every reader
     * @return the register
     */
    public static ConfigurationRegister of(DocumentParser parser) {
        Objects.requireNonNull(parser, "parser is null");
        return new ConfigurationRegister(parser);
    }

    /**
     * Returns the configuration in force: an offered one while the log has not confirmed or
     * replaced it, otherwise the newest one that the log confirms.
     *
     * @return the configuration; empty while none is known
     */
    public Optional<ConfigurationInForce> inForce() {
        return offered.isPresent() ? offered : confirmed;
    }

    /**
     * Returns the version of the newest configuration accepted from the log.
     *
     * @return the version, or -1 if there is none
     */
    public long confirmedVersion() {
        return confirmed.map(ConfigurationInForce::version).orElse(-1L);
    }

    /**
     * Returns the offset of the next record to read.
     *
     * @return the offset
     */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * Returns whether this register needs a snapshot to continue, because records expired before
     * they were read or a publication has a later document format.
     *
     * @return true when a snapshot is needed
     */
    public boolean awaitsSnapshot() {
        return !hasCompleteState;
    }

    /**
     * Returns whether every record up to the end of the log has been read and the log was reachable
     * at the last read.
     *
     * @return true when this register is up to date with the log
     */
    public boolean isFollowing() {
        return following;
    }

    /**
     * Returns a snapshot of the configuration that the log confirms, from which other readers can
     * start.
     *
     * @return the snapshot; empty when no configuration is confirmed or this register itself needs
     *     a snapshot
     */
    public Optional<ConfigurationSnapshot> snapshot() {
        return confirmed
                .filter(known -> hasCompleteState)
                .map(
                        known ->
                                new ConfigurationSnapshot(
                                        nextOffset,
                                        known.version(),
                                        known.document(),
                                        history.publications()));
    }

    /**
     * Processes the next record. A jump in the offsets is handled like expired records.
     *
     * @param record the record
     * @return the resulting events; empty for a record that was read before
     */
    public List<ConfigurationEvent> handle(LogRecord record) {
        Objects.requireNonNull(record, "record is null");
        if (record.offset() < nextOffset) {
            return List.of();
        }
        List<ConfigurationEvent> events = new ArrayList<>();
        skipUnreadable();
        if (record.offset() > nextOffset) {
            events.addAll(handleGap(record.offset()));
        }
        nextOffset = record.offset() + 1;
        if (hasCompleteState) {
            events.addAll(evaluate(record));
        } else {
            events.addAll(handleWhileAwaitingSnapshot(record));
        }
        events.addAll(verifyOffer());
        return events;
    }

    /**
     * Records that the record at an offset can't be decoded. Every reader skips such a record.
     *
     * @param offset the record's offset
     */
    public void handleUnreadable(long offset) {
        if (offset >= nextOffset) {
            unreadableOffsets.add(offset);
        }
    }

    /**
     * Handles the expiry of records before an offset. If any of them were unread, this register
     * waits for a snapshot.
     *
     * @param firstOffset the offset of the oldest record that the log still has
     * @return the resulting events; empty when no unread record expired
     */
    // Skipping expired records would leave this reader at a version that other readers know to be
    // superseded, and it would accept publications that they reject. It must use a snapshot
    // instead.
    public List<ConfigurationEvent> handleGap(long firstOffset) {
        skipUnreadable();
        if (firstOffset <= nextOffset) {
            return List.of();
        }
        ConfigurationEvent event = new Gap(nextOffset, firstOffset);
        nextOffset = firstOffset;
        awaitSnapshotFrom(firstOffset);
        return List.of(event);
    }

    /**
     * Handles the end of a read that reached the end of the log.
     *
     * @param logEndOffset the offset that the next appended record will get
     * @return the resulting events
     */
    public List<ConfigurationEvent> handleEndOfLog(long logEndOffset) {
        skipUnreadable();
        following = hasCompleteState && logEndOffset == nextOffset;
        return logEndOffset < nextOffset
                ? List.of(new InvariantBroken(Breach.LOG_WENT_BACK, logEndOffset))
                : verifyOffer();
    }

    /** Records that the log can't be read at present. */
    public void handleLogUnreachable() {
        following = false;
    }

    /**
     * Processes a configuration that a peer reports as in force. It is used until the log has been
     * read past its version.
     *
     * @param version the offered version
     * @param document the offered document
     * @return the resulting events; empty when the offer is ignored
     */
    // A reader that follows the log gets every version from it promptly, so offers are used only
    // while the log is not followed. A superseded offer has a lower version and is ignored.
    public List<ConfigurationEvent> handleOffer(long version, String document) {
        Objects.requireNonNull(document, "document is null");
        if (following || version <= inForce().map(ConfigurationInForce::version).orElse(-1L)) {
            return List.of();
        }
        if (hasCompleteState && version < nextOffset) {
            return List.of(new InvariantBroken(Breach.OFFER_CONTRADICTED, version));
        }
        Optional<ConfigurationReading.Accepted> reading = readIfValid(document);
        if (reading.isEmpty()) {
            return List.of(new InvariantBroken(Breach.OFFER_CONTRADICTED, version));
        }
        offered =
                Optional.of(
                        new ConfigurationInForce(
                                version, document, reading.get().configuration(), false));
        return List.of(new OfferTaken(version));
    }

    private void skipUnreadable() {
        while (unreadableOffsets.remove(nextOffset)) {
            nextOffset++;
        }
        unreadableOffsets.headSet(nextOffset).clear();
    }

    private void awaitSnapshotFrom(long offset) {
        hasCompleteState = false;
        following = false;
        bufferedFrom = offset;
        bufferedRecords.clear();
    }

    private List<ConfigurationEvent> evaluate(LogRecord record) {
        if (record.entry() instanceof Publication publication) {
            return List.of(evaluate(record, publication));
        }
        if (record.entry() instanceof ConfigurationSnapshot snapshot) {
            return List.of(verifySnapshot(record, snapshot));
        }
        return List.of();
    }

    private ConfigurationEvent evaluate(LogRecord record, Publication publication) {
        if (!history.addPublication(publication.publication())) {
            return new Doubled(record, publication);
        }
        if (publication.basedOn() != confirmedVersion()) {
            return new Superseded(record, publication, confirmedVersion());
        }
        Optional<Map<String, Object>> tree = parse(publication.document());
        if (tree.filter(ConfigurationReader::isOfLaterFormat).isPresent()) {
            awaitSnapshotFrom(nextOffset);
            return new LaterFormat(record);
        }
        ConfigurationReading reading =
                tree.map(ConfigurationReader::read)
                        .orElseGet(ConfigurationRegister::unparsableReading);
        if (reading instanceof ConfigurationReading.Accepted accepted) {
            boolean confirmed =
                    confirm(
                            new ConfigurationInForce(
                                    record.offset(),
                                    publication.document(),
                                    accepted.configuration(),
                                    true));
            return confirmed
                    ? new Accepted(record, publication, accepted.warnings())
                    : new InvariantBroken(Breach.VERSION_NOT_HIGHER, record.offset());
        }
        return new Invalid(
                record, publication, ((ConfigurationReading.Rejected) reading).problems());
    }

    private ConfigurationEvent verifySnapshot(LogRecord record, ConfigurationSnapshot snapshot) {
        if (!history.covers(snapshot.upTo())) {
            return new SnapshotUnused(record);
        }
        boolean matchesHistory =
                snapshot.upTo() <= record.offset()
                        && history.inForceBefore(snapshot.upTo())
                                .filter(entry -> entry.getKey() == snapshot.version())
                                .filter(entry -> entry.getValue().equals(snapshot.document()))
                                .isPresent();
        return matchesHistory
                ? new SnapshotAgrees(record, snapshot.upTo())
                : new InvariantBroken(Breach.SNAPSHOT_DISAGREES, snapshot.version());
    }

    // Records between the snapshot's bound and the snapshot itself were appended while it was being
    // written: they are buffered until a usable snapshot is found, and evaluated after it.
    private List<ConfigurationEvent> handleWhileAwaitingSnapshot(LogRecord record) {
        if (record.entry() instanceof ConfigurationSnapshot snapshot) {
            return startFromSnapshot(record, snapshot);
        }
        if (record.entry() instanceof Publication) {
            bufferedRecords.addLast(record);
            if (bufferedRecords.size() > MAXIMUM_BUFFERED_RECORDS) {
                bufferedFrom = bufferedRecords.removeFirst().offset() + 1;
            }
        }
        return List.of();
    }

    private List<ConfigurationEvent> startFromSnapshot(
            LogRecord record, ConfigurationSnapshot snapshot) {
        if (snapshot.upTo() < bufferedFrom
                || snapshot.upTo() > record.offset()
                || snapshot.version() >= snapshot.upTo()
                || snapshot.version() < 0) {
            return List.of(new SnapshotUnused(record));
        }
        Optional<ConfigurationReading.Accepted> reading = readIfValid(snapshot.document());
        if (reading.isEmpty()) {
            return List.of(new SnapshotUnused(record));
        }
        if (contradictsKnownState(snapshot)) {
            return List.of(new InvariantBroken(Breach.SNAPSHOT_DISAGREES, snapshot.version()));
        }
        List<LogRecord> laterRecords =
                bufferedRecords.stream().filter(kept -> kept.offset() >= snapshot.upTo()).toList();
        hasCompleteState = true;
        bufferedRecords.clear();
        history.restart(snapshot.upTo(), snapshot.recentPublications());
        history.addAccepted(snapshot.version(), snapshot.document());
        if (snapshot.version() > confirmedVersion()) {
            confirm(
                    new ConfigurationInForce(
                            snapshot.version(),
                            snapshot.document(),
                            reading.get().configuration(),
                            true));
        }
        List<ConfigurationEvent> events = new ArrayList<>();
        events.add(new SnapshotTaken(record, snapshot.version()));
        laterRecords.forEach(kept -> events.addAll(evaluate(kept)));
        return events;
    }

    // Continuing from a snapshot with a lower version than the confirmed one would put an older
    // configuration back in force. A snapshot with the confirmed version but another document, or
    // with a version in the buffered range but no such publication there, would make this reader
    // differ from every other.
    private boolean contradictsKnownState(ConfigurationSnapshot snapshot) {
        boolean older = snapshot.version() < confirmedVersion();
        boolean differs =
                confirmed
                        .filter(known -> known.version() == snapshot.version())
                        .filter(known -> !known.document().equals(snapshot.document()))
                        .isPresent();
        boolean documentNotPublished =
                snapshot.version() >= bufferedFrom
                        && bufferedRecords.stream()
                                .noneMatch(
                                        kept ->
                                                kept.offset() == snapshot.version()
                                                        && isDocumentOf(kept, snapshot));
        return older || differs || documentNotPublished;
    }

    private static boolean isDocumentOf(LogRecord record, ConfigurationSnapshot snapshot) {
        return record.entry()
                .asPublication()
                .filter(publication -> publication.document().equals(snapshot.document()))
                .isPresent();
    }

    // Without this check, a daemon that resumes from a pause or reads an old copy of the log would
    // put an older configuration back in force, and callers would lose what the newer one grants.
    // Versions are offsets and records come in order, so one comparison at the only place that sets
    // the confirmed configuration is enough.
    private boolean confirm(ConfigurationInForce candidate) {
        if (candidate.version() <= confirmedVersion()) {
            return false;
        }
        confirmed = Optional.of(candidate);
        history.addAccepted(candidate.version(), candidate.document());
        return true;
    }

    // The log is authoritative: once it has been read past an offered version, that version is
    // either in the log or was never in force.
    private List<ConfigurationEvent> verifyOffer() {
        if (offered.isEmpty() || !hasCompleteState || nextOffset <= offered.get().version()) {
            return List.of();
        }
        ConfigurationInForce offer = offered.get();
        offered = Optional.empty();
        boolean consistentWithLog =
                offer.version() < confirmedVersion()
                        ? !history.covers(offer.version())
                                || history.isAccepted(offer.version(), offer.document())
                        : history.isAccepted(offer.version(), offer.document());
        return consistentWithLog
                ? List.of()
                : List.of(new InvariantBroken(Breach.OFFER_CONTRADICTED, offer.version()));
    }

    private Optional<ConfigurationReading.Accepted> readIfValid(String document) {
        return parse(document)
                .map(ConfigurationReader::read)
                .filter(ConfigurationReading.Accepted.class::isInstance)
                .map(ConfigurationReading.Accepted.class::cast);
    }

    private Optional<Map<String, Object>> parse(String document) {
        try {
            return Optional.of(parser.parse(document));
        } catch (TamaracktrackException failure) {
            return Optional.empty();
        }
    }

    private static ConfigurationReading unparsableReading() {
        return new ConfigurationReading.Rejected(
                List.of(
                        new Problem(
                                "",
                                "text that is not a JSON map",
                                "a JSON map",
                                ProblemKind.WRONG_TYPE)));
    }
}
