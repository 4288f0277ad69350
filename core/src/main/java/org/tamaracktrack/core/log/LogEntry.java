package org.tamaracktrack.core.log;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.OrderId;
import org.tamaracktrack.core.id.PublicationId;
import org.tamaracktrack.core.id.TargetId;

/** What a record in the log says. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = LogEntry.Publication.class, name = "publication"),
    @JsonSubTypes.Type(value = LogEntry.ConfigurationSnapshot.class, name = "snapshot"),
    @JsonSubTypes.Type(value = LogEntry.OwnershipTaken.class, name = "ownership"),
    @JsonSubTypes.Type(value = LogEntry.OrderIntent.class, name = "intent"),
    @JsonSubTypes.Type(value = LogEntry.OrderSettled.class, name = "settled"),
    @JsonSubTypes.Type(value = LogEntry.DrainRequested.class, name = "drain"),
    @JsonSubTypes.Type(value = LogEntry.LeaseTaken.class, name = "lease"),
    @JsonSubTypes.Type(value = LogEntry.LeaseReleased.class, name = "leaseReleased"),
    @JsonSubTypes.Type(value = LogEntry.PlanPublished.class, name = "plan"),
    @JsonSubTypes.Type(value = LogEntry.ClaimsTaken.class, name = "claims"),
    @JsonSubTypes.Type(value = LogEntry.ClaimsSettled.class, name = "claimsSettled"),
    @JsonSubTypes.Type(value = LogEntry.CountersPublished.class, name = "counters"),
    @JsonSubTypes.Type(value = LogEntry.ReportSnapshot.class, name = "reportSnapshot"),
})
public sealed interface LogEntry {

    /**
     * An operator's attempt to put a configuration in force. It is accepted when {@code basedOn} is
     * the version in force at its offset; its offset is then the version.
     *
     * @param publication the attempt; seen twice, the second is ignored
     * @param basedOn the version it was written against, -1 for the first
     * @param document the document as canonical JSON
     * @param operator who published
     * @param note the operator's note
     */
    record Publication(
            PublicationId publication, long basedOn, String document, String operator, String note)
            implements LogEntry {

        /** Checks the arguments. */
        public Publication {
            Objects.requireNonNull(publication, "publication is null");
            Objects.requireNonNull(document, "document is null");
        }
    }

    /**
     * The configuration in force after every record before offset {@code upTo}, so that older
     * records may expire.
     *
     * @param upTo the first offset that it does not cover
     * @param version the version in force
     * @param document the document in force
     * @param recentPublications publications seen of late, so that a retried append stays ignored
     */
    record ConfigurationSnapshot(
            long upTo, long version, String document, List<PublicationId> recentPublications)
            implements LogEntry {

        /** Copies the list. */
        public ConfigurationSnapshot {
            Objects.requireNonNull(document, "document is null");
            recentPublications = List.copyOf(recentPublications);
        }
    }

    /**
     * A target daemon takes its target. The offset is the fencing number of its orders; of two
     * records for a target, the later one holds. Repeated well before it expires.
     *
     * @param target the target
     * @param owner the daemon's incarnation
     * @param host its host
     * @param dataCentre its data centre
     * @param address where entry daemons reach it, IP number and port
     * @param startedAtMillis when the daemon started, by the clock of its host
     */
    record OwnershipTaken(
            TargetId target,
            IncarnationId owner,
            HostId host,
            DataCentreId dataCentre,
            String address,
            long startedAtMillis)
            implements LogEntry {}

    /**
     * An order is about to be sent to an engine that ignores fencing numbers. A successor keeps the
     * memory reserved until the outcome is seen or the order has expired.
     *
     * @param target the target
     * @param fencing the owner's fencing number
     * @param order the order
     * @param accelerator where the memory is
     * @param model the model concerned
     * @param reservedMebibytes how much memory it may take
     * @param issuedAtMillis when it was issued, by the clock of the target's host
     * @param lifetimeMillis the engine ignores the order when this has passed since it was issued
     */
    record OrderIntent(
            TargetId target,
            long fencing,
            OrderId order,
            AcceleratorId accelerator,
            ModelId model,
            long reservedMebibytes,
            long issuedAtMillis,
            long lifetimeMillis)
            implements LogEntry {}

    /**
     * The outcome of an order was seen in the engine's inventory.
     *
     * @param target the target
     * @param order the order
     */
    record OrderSettled(TargetId target, OrderId order) implements LogEntry {}

    /**
     * An operator asks a target to leave, or takes the request back.
     *
     * @param target the target
     * @param leaving whether to leave
     * @param operator who asks
     */
    record DrainRequested(TargetId target, boolean leaving, String operator) implements LogEntry {}

    /**
     * A process asks for a duty, or renews it. It is granted when no lease of another holder is in
     * force at the record's time by the log's clock; the offset of the grant is the term's number.
     *
     * @param duty the duty: {@code planner} or {@code reporter}
     * @param holder the process
     * @param durationMillis how long the grant holds
     * @param renews the term that this record renews, -1 for a new claim. A reader whose stream
     *     begins after the grant expired learns the term from it.
     */
    record LeaseTaken(String duty, IncarnationId holder, long durationMillis, long renews)
            implements LogEntry {}

    /**
     * The holder gives the duty up before the lease ends.
     *
     * @param duty the duty
     * @param holder the process
     */
    record LeaseReleased(String duty, IncarnationId holder) implements LogEntry {}

    /**
     * A placement plan. It holds when its term is that of the lease in force at its offset.
     *
     * @param holder the planner
     * @param term the offset of the holder's first grant
     * @param configurationVersion the configuration it was made for
     * @param placements which model is to be resident where
     */
    record PlanPublished(
            IncarnationId holder, long term, long configurationVersion, List<Placement> placements)
            implements LogEntry {

        /** Copies the list. */
        public PlanPublished {
            placements = List.copyOf(placements);
        }
    }

    /**
     * One planned copy.
     *
     * @param model the model
     * @param target where it is to be resident
     * @param adapters the adapters that are to be resident with it
     * @param cause why it was placed: {@code home}, {@code demand} or {@code recovery}
     */
    record Placement(ModelId model, TargetId target, List<AdapterId> adapters, String cause) {

        /** Copies the list. */
        public Placement {
            Objects.requireNonNull(model, "model is null");
            Objects.requireNonNull(target, "target is null");
            adapters = List.copyOf(adapters);
        }
    }

    /**
     * Claims of idempotency keys, committed as a group.
     *
     * @param owner the entry daemon
     * @param claims the claims
     */
    record ClaimsTaken(IncarnationId owner, List<Claim> claims) implements LogEntry {

        /** Copies the list. */
        public ClaimsTaken {
            claims = List.copyOf(claims);
        }
    }

    /**
     * One claim; the first for a key wins.
     *
     * @param account whose key it is
     * @param keyHash the hash of the key
     * @param requestHash the hash of method, path and body
     * @param claim the claim's number within its owner
     */
    record Claim(ClientAccountId account, String keyHash, String requestHash, long claim) {}

    /**
     * Outcomes of claimed requests: {@code NO} frees the key.
     *
     * @param owner the entry daemon
     * @param settled the outcomes
     */
    record ClaimsSettled(IncarnationId owner, List<ClaimOutcome> settled) implements LogEntry {

        /** Copies the list. */
        public ClaimsSettled {
            settled = List.copyOf(settled);
        }
    }

    /**
     * The outcome of one claim.
     *
     * @param claim the claim's number within its owner
     * @param ran whether the request ran
     */
    record ClaimOutcome(long claim, Ran ran) {}

    /**
     * The counters of one process since it started. Cumulative, so that a lost or doubled record
     * changes nothing: of one incarnation the highest sequence counts.
     *
     * @param incarnation the process
     * @param source what it is: {@code entry} or the target's name
     * @param sequence grows with each record
     * @param startedAtMillis when the process started, by its clock
     * @param takenAtMillis when the counters were read, by its clock
     * @param last whether the process ended with this record
     * @param counters the counters by name
     */
    record CountersPublished(
            IncarnationId incarnation,
            String source,
            long sequence,
            long startedAtMillis,
            long takenAtMillis,
            boolean last,
            Map<String, Long> counters)
            implements LogEntry {

        /** Copies the map. */
        public CountersPublished {
            counters = Map.copyOf(counters);
        }
    }

    /**
     * The roll-up of every counter record before an offset, so that older records may expire.
     *
     * @param upTo the first offset that it does not cover
     * @param fromMillis the start of the span that it covers
     * @param ended the sum over processes that ended, and those given up as missing
     * @param live the last record of each process that had not ended
     * @param missing processes that ended without a last record
     */
    record ReportSnapshot(
            long upTo,
            long fromMillis,
            Map<String, Long> ended,
            List<CountersPublished> live,
            List<IncarnationId> missing)
            implements LogEntry {

        /** Copies the collections. */
        public ReportSnapshot {
            ended = Map.copyOf(ended);
            live = List.copyOf(live);
            missing = List.copyOf(missing);
        }
    }

    /**
     * Returns the publication in this entry, if it is one.
     *
     * @return the publication
     */
    default Optional<Publication> asPublication() {
        return this instanceof Publication publication
                ? Optional.of(publication)
                : Optional.empty();
    }
}
