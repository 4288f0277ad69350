package org.tamaracktrack.core.config;

import java.util.List;
import java.util.Objects;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

/**
 * An event by which {@link ConfigurationRegister} reports how it handled a record, offer or gap.
 */
public sealed interface ConfigurationEvent {

    /**
     * A publication was accepted; its offset is the version in force.
     *
     * @param record the record
     * @param publication the publication in the record
     * @param warnings the requirements that the configuration cannot satisfy
     */
    record Accepted(LogRecord record, LogEntry.Publication publication, List<Warning> warnings)
            implements ConfigurationEvent {

        /** Copies the list. */
        public Accepted {
            warnings = List.copyOf(warnings);
        }
    }

    /**
     * A publication was not based on the version in force.
     *
     * @param record the record
     * @param publication the publication in the record
     * @param versionInForce the version in force at its offset, or -1 if there was none
     */
    record Superseded(LogRecord record, LogEntry.Publication publication, long versionInForce)
            implements ConfigurationEvent {}

    /**
     * A publication was based on the version in force, but its document is not valid.
     *
     * @param record the record
     * @param publication the publication in the record
     * @param problems every problem of the document
     */
    record Invalid(LogRecord record, LogEntry.Publication publication, List<Problem> problems)
            implements ConfigurationEvent {

        /** Copies the list. */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /**
     * A publication was read a second time, because its append was retried.
     *
     * @param record the record
     * @param publication the publication in the record
     */
    record Doubled(LogRecord record, LogEntry.Publication publication)
            implements ConfigurationEvent {}

    /**
     * A publication has a document format of a later release. This process can't tell whether it is
     * in force, so it keeps the configuration it has.
     *
     * @param record the record
     */
    record LaterFormat(LogRecord record) implements ConfigurationEvent {}

    /**
     * Reading continues from a snapshot.
     *
     * @param record the record
     * @param version the version in force according to the snapshot
     */
    record SnapshotTaken(LogRecord record, long version) implements ConfigurationEvent {}

    /**
     * A snapshot agrees with the records read so far.
     *
     * @param record the record
     * @param upTo the first offset that the snapshot does not cover
     */
    record SnapshotAgrees(LogRecord record, long upTo) implements ConfigurationEvent {}

    /**
     * A snapshot can't be used: it is too old to start from or to be verified, or it is not valid.
     *
     * @param record the record
     */
    record SnapshotUnused(LogRecord record) implements ConfigurationEvent {}

    /**
     * Records expired before they were read; a snapshot is needed to continue.
     *
     * @param expectedOffset the offset of the record that was expected next
     * @param firstOffset the offset of the oldest record that the log still has
     */
    record Gap(long expectedOffset, long firstOffset) implements ConfigurationEvent {}

    /**
     * A configuration offered by a peer is in force until the log has been read past its version.
     *
     * @param version the offered version
     */
    record OfferTaken(long version) implements ConfigurationEvent {}

    /** A condition that cannot occur while every process follows the protocol. */
    enum Breach {
        /** A snapshot differs from the records that it covers. */
        SNAPSHOT_DISAGREES,
        /** A version was about to be put in force that is not above the one in force. */
        VERSION_NOT_HIGHER,
        /** A peer offered a configuration that, according to the log, was never accepted. */
        OFFER_CONTRADICTED,
        /** The log ends before an offset that was already read: it was replaced or restored. */
        LOG_WENT_BACK
    }

    /**
     * An invariant does not hold; the record, offer or snapshot concerned was not applied.
     *
     * @param breach the invariant that does not hold
     * @param version the version concerned, or the end of the log for {@link Breach#LOG_WENT_BACK}
     */
    record InvariantBroken(Breach breach, long version) implements ConfigurationEvent {

        /** Checks the arguments. */
        public InvariantBroken {
            Objects.requireNonNull(breach, "breach is null");
        }
    }
}
