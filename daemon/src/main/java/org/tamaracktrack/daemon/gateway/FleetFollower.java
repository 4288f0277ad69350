package org.tamaracktrack.daemon.gateway;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.fleet.FleetTracker;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.topic.KeyedRecord;

/** Keeps the fleet up to date from the records of the registry. Used on the control thread. */
public final class FleetFollower implements KeyedFollower.Listener {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.fleet");
    private static final long EXPIRY_INTERVAL_MILLIS = 250;

    private final Function<KeyedRecord, Optional<TargetEntry>> decoder;
    private final Consumer<FleetSnapshot> onFleetChanged;
    private final Supplier<Set<TargetId>> takeClosingTargets;
    private final ControlThread control;
    private final FleetTracker fleetTracker = FleetTracker.empty();
    private volatile int missing;
    private volatile long completeAtMillis = Long.MIN_VALUE / 2;

    private FleetFollower(
            Function<KeyedRecord, Optional<TargetEntry>> decoder,
            Consumer<FleetSnapshot> onFleetChanged,
            Supplier<Set<TargetId>> takeClosingTargets,
            ControlThread control) {
        this.control = control;
        this.decoder = decoder;
        this.onFleetChanged = onFleetChanged;
        this.takeClosingTargets = takeClosingTargets;
    }

    /**
     * Returns a follower without targets.
     *
     * @param decoder decodes an entry; empty if it cannot be decoded
     * @param onFleetChanged receives each changed fleet
     * @param takeClosingTargets returns the targets that closed a connection since the previous
     *     call
     * @param control the thread that the follower runs on
     * @return the follower
     */
    public static FleetFollower of(
            Function<KeyedRecord, Optional<TargetEntry>> decoder,
            Consumer<FleetSnapshot> onFleetChanged,
            Supplier<Set<TargetId>> takeClosingTargets,
            ControlThread control) {
        Objects.requireNonNull(decoder, "decoder is null");
        FleetFollower follower =
                new FleetFollower(decoder, onFleetChanged, takeClosingTargets, control);
        control.every(EXPIRY_INTERVAL_MILLIS, follower::expire);
        return follower;
    }

    /**
     * Returns the number of targets that are kept although the registry lacks them. Safe for use by
     * any thread.
     *
     * @return the number, at most a quarter of a second old
     */
    public int missing() {
        return missing;
    }

    /**
     * Records that a target has stated in an answer that it leaves. Safe for use by any thread.
     *
     * @param incarnation the incarnation that answered
     */
    public void recordLeaving(TargetIncarnation incarnation) {
        control.post(
                () -> {
                    if (fleetTracker.recordLeaving(incarnation)) {
                        onFleetChanged.accept(fleetTracker.fleet());
                    }
                });
    }

    /**
     * Returns the age of the information about the registry. Safe for use by any thread.
     *
     * @return milliseconds since the time up to which every entry is known; very large before the
     *     first read
     */
    public long ageMillis() {
        return ControlThread.nowMillis() - completeAtMillis;
    }

    @Override
    public void onListing(List<KeyedRecord> records) {
        Set<TargetId> listed =
                records.stream()
                        .flatMap(record -> apply(record).stream())
                        .collect(Collectors.toSet());
        long nowMillis = ControlThread.nowMillis();
        fleetTracker
                .applyListing(listed, nowMillis)
                .forEach((target, removal) -> logRemoval(target, removal, "listing", nowMillis));
        onFleetChanged.accept(fleetTracker.fleet());
    }

    @Override
    public void onRecords(List<KeyedRecord> records) {
        FleetSnapshot before = fleetTracker.fleet();
        records.forEach(this::apply);
        if (fleetTracker.fleet() != before) {
            onFleetChanged.accept(fleetTracker.fleet());
        }
    }

    /** Applies a record and returns the target that it describes. */
    private Optional<TargetId> apply(KeyedRecord record) {
        if (record.value().isEmpty()) {
            remove(record);
            return Optional.empty();
        }
        Optional<TargetEntry> entry = decoder.apply(record);
        if (entry.isEmpty()) {
            LOG.warn("event=entry-unreadable key=" + record.key() + " offset=" + record.offset());
            remove(record);
        } else if (fleetTracker.accept(entry.get())) {
            LOG.info("event=target " + describe(entry.get()) + " offset=" + record.offset());
        }
        return entry.map(decoded -> decoded.incarnation().target());
    }

    private void remove(KeyedRecord record) {
        targetId(record.key()).ifPresent(target -> remove(target, record.offset()));
    }

    private void remove(TargetId target, long offset) {
        long nowMillis = ControlThread.nowMillis();
        logRemoval(
                target, fleetTracker.remove(target, nowMillis), Long.toString(offset), nowMillis);
    }

    private void logRemoval(
            TargetId target, FleetTracker.RemovalOutcome removal, String offset, long nowMillis) {
        String fields = " target=" + target + " offset=" + offset;
        if (removal == FleetTracker.RemovalOutcome.DROPPED) {
            LOG.info("event=target-removed" + fields);
        } else if (removal == FleetTracker.RemovalOutcome.MISSING) {
            LOG.info(
                    "event=target-missing"
                            + fields
                            + " store_back_for_ms="
                            + fleetTracker.availableForMillis(nowMillis));
        }
    }

    private static Optional<TargetId> targetId(String key) {
        try {
            return Optional.of(TargetId.of(key));
        } catch (TamaracktrackException unreadable) {
            // A key that is no valid target id was never accepted, so there is nothing to remove.
            return Optional.empty();
        }
    }

    private static String describe(TargetEntry entry) {
        return "target="
                + entry.incarnation()
                + " service="
                + entry.service()
                + " version="
                + entry.version()
                + " address="
                + entry.address()
                + " leaving="
                + entry.leaving()
                + " revision="
                + entry.revision()
                + " models="
                + entry.models().values();
    }

    private void expire() {
        FleetSnapshot before = fleetTracker.fleet();
        fleetTracker
                .dropMissing(takeClosingTargets.get())
                .forEach(target -> LOG.info("event=target-closing target=" + target));
        fleetTracker
                .dropExpired(ControlThread.nowMillis())
                .forEach(target -> LOG.info("event=target-expired target=" + target));
        missing = fleetTracker.missingCount();
        if (fleetTracker.fleet() != before) {
            onFleetChanged.accept(fleetTracker.fleet());
        }
    }

    @Override
    public void onStoreUnavailable() {
        fleetTracker.registryUnavailable();
    }

    @Override
    public void onStoreAvailable(long availableAtMillis) {
        fleetTracker.registryAvailable(availableAtMillis);
    }

    @Override
    public void onComplete(long atMillis) {
        completeAtMillis = atMillis;
    }
}
