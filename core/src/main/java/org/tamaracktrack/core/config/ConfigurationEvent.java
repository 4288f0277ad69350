package org.tamaracktrack.core.config;

import java.util.List;
import java.util.Objects;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

/** What {@link ConfigurationRegister} made of a record, an offer or a gap. */
public sealed interface ConfigurationEvent {

    /**
     * A publication was accepted; its offset is the version in force.
     *
     * @param record the record
     * @param publication what it says
     * @param warnings what the configuration cannot keep
     */
    record Accepted(LogRecord record, LogEntry.Publication publication, List<Warning> warnings)
            implements ConfigurationEvent {

        /** Copies the list. */
        public Accepted {
            warnings = List.copyOf(warnings);
        }
    }

    /**
     * A publication was based on another version than the one in force.
     *
     * @param record the record
     * @param publication what it says
     * @param versionInForce the version in force at its offset, -1 for none
     */
    record Superseded(LogRecord record, LogEntry.Publication publication, long versionInForce)
            implements ConfigurationEvent {}

    /**
     * A publication was based on the version in force and its document is not valid.
     *
     * @param record the record
     * @param publication what it says
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
     * A publication came a second time.
     *
     * @param record the record
     * @param publication what it says
     */
    record Doubled(LogRecord record, LogEntry.Publication publication)
            implements ConfigurationEvent {}

    /**
     * A publication is in a format of a later release, so this process can't tell whether it is in
     * force, and stays with what it has.
     *
     * @param record the record
     */
    record LaterFormat(LogRecord record) implements ConfigurationEvent {}

    /**
     * Reading starts anew from a snapshot.
     *
     * @param record the record
     * @param version the version that it says is in force
     */
    record SnapshotTaken(LogRecord record, long version) implements ConfigurationEvent {}

    /**
     * A snapshot agrees with what was read.
     *
     * @param record the record
     * @param upTo the first offset that it does not cover
     */
    record SnapshotAgrees(LogRecord record, long upTo) implements ConfigurationEvent {}

    /**
     * A snapshot is too old to start from or to be checked.
     *
     * @param record the record
     */
    record SnapshotUnused(LogRecord record) implements ConfigurationEvent {}

    /**
     * Records expired before they were read; a snapshot is needed to go on.
     *
     * @param expectedOffset the offset that was to come next
     * @param firstOffset the oldest record there still is
     */
    record Gap(long expectedOffset, long firstOffset) implements ConfigurationEvent {}

    /**
     * A configuration that a peer offered is in force until the log says more.
     *
     * @param version its version
     */
    record OfferTaken(long version) implements ConfigurationEvent {}

    /** Something that cannot be, if every process keeps to the rules. */
    enum Breach {
        /** A snapshot says something else than the records that it covers. */
        SNAPSHOT_DISAGREES,
        /** A version was about to come into force that is not above the one in force. */
        VERSION_NOT_HIGHER,
        /** A peer offered as in force what the log shows was never accepted. */
        OFFER_CONTRADICTED,
        /** The log ends before what was read from it: it was replaced or restored. */
        LOG_WENT_BACK
    }

    /**
     * An invariant does not hold; the safe side was taken.
     *
     * @param breach which
     * @param version the version concerned
     */
    record InvariantBroken(Breach breach, long version) implements ConfigurationEvent {

        /** Checks the arguments. */
        public InvariantBroken {
            Objects.requireNonNull(breach, "breach is null");
        }
    }
}
