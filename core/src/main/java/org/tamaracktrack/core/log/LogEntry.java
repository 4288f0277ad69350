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

/** The content of a record in the log, encoded as JSON by its component names. */
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
     * @param publication the identifier of the attempt; a second record with it is ignored
     * @param basedOn the version it replaces, or -1 for the first
     * @param document the document as canonical JSON
     * @param operator the operator who published it
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
     * @param recentPublications the most recent publications, so that a retried append of one of
     *     them is still ignored
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
     * A target daemon takes ownership of its target. The record's offset is the fencing number of
     * the daemon's orders. The latest record for a target defines its owner. The owner appends it
     * again well before it expires.
     *
     * @param target the target
     * @param owner the daemon's incarnation
     * @param host the daemon's host
     * @param dataCentre the daemon's data centre
     * @param address the IP address and port at which entry daemons reach the daemon
     * @param startedAtMillis the time at which the daemon started, by the clock of its host
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
     * An order is about to be sent to an engine that ignores fencing numbers. A later owner keeps
     * the memory reserved until the order's outcome is known or the order has expired.
     *
     * @param target the target
     * @param fencing the owner's fencing number
     * @param order the order
     * @param accelerator the accelerator whose memory it uses
     * @param model the model concerned
     * @param reservedMebibytes the memory that it may use
     * @param issuedAtMillis the time at which it was issued, by the clock of the target's host
     * @param lifetimeMillis the time after which the engine ignores the order, from its issue
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
     * The outcome of an order was read from the engine's inventory.
     *
     * @param target the target
     * @param order the order
     */
    record OrderSettled(TargetId target, OrderId order) implements LogEntry {}

    /**
     * An operator requests that a target be drained, or withdraws that request.
     *
     * @param target the target
     * @param leaving true to drain, false to withdraw the request
     * @param operator the operator
     */
    record DrainRequested(TargetId target, boolean leaving, String operator) implements LogEntry {}

    /**
     * A process requests the lease of a duty, or renews it. The lease is granted when no lease of
     * another holder is in force at the record's append time by the log's clock. The offset of the
     * grant is the number of the term.
     *
     * @param duty the duty: {@code planner} or {@code reporter}
     * @param holder the process
     * @param durationMillis the duration of the lease from the record's append time
     * @param renews the term that this record renews, or -1 for a new request. A reader that starts
     *     after the record of the grant has expired gets the term from it.
     */
    record LeaseTaken(String duty, IncarnationId holder, long durationMillis, long renews)
            implements LogEntry {}

    /**
     * The holder releases the lease of a duty before it ends.
     *
     * @param duty the duty
     * @param holder the process
     */
    record LeaseReleased(String duty, IncarnationId holder) implements LogEntry {}

    /**
     * A placement plan. It is valid when its term is that of the lease in force at its offset.
     *
     * @param holder the holder of the planner lease
     * @param term the offset of the record that first granted the lease
     * @param configurationVersion the version of the configuration that it is based on
     * @param placements the planned copies
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
     * A planned copy of a model.
     *
     * @param model the model
     * @param target the target on which the copy is to be resident
     * @param adapters the adapters to be resident with it
     * @param cause the reason for the placement: {@code home}, {@code demand} or {@code recovery}
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
     * Claims of idempotency keys, appended as one batch.
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
     * A claim of an idempotency key. The first claim of a key takes effect.
     *
     * @param account the client account that the key belongs to
     * @param keyHash the hash of the key
     * @param requestHash the hash of the request's method, path and body
     * @param claim the claim's number, unique within its owner
     */
    record Claim(ClientAccountId account, String keyHash, String requestHash, long claim) {}

    /**
     * Outcomes of claimed requests. {@code NO} releases the key.
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
     * @param claim the claim's number, unique within its owner
     * @param ran whether the request ran
     */
    record ClaimOutcome(long claim, Ran ran) {}

    /**
     * The counters of one process since its start. They are cumulative, and only the record with
     * the highest sequence of an incarnation is used, so a lost or duplicated record does no harm.
     *
     * @param incarnation the process
     * @param source {@code entry} for an entry daemon, or the target's name
     * @param sequence increases with each record
     * @param startedAtMillis the time at which the process started, by its clock
     * @param takenAtMillis the time at which the counters were read, by its clock
     * @param last whether this is the process's final record
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
     * @param fromMillis the start of the time span that it covers
     * @param ended the sums over processes that ended or expired as missing
     * @param live the newest record of each process that is still kept; without counters for one
     *     that is included in {@code ended}
     * @param missing processes that expired without a final record
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
