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
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.topic.KeyedRecord;

/** Keeps the fleet up to date from the registry's records. On the control thread. */
public final class FleetFollower implements KeyedFollower.Listener {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.fleet");
    private static final long EXPIRE_EVERY_MILLIS = 250;

    private final Function<KeyedRecord, Optional<TargetEntry>> decoder;
    private final Consumer<FleetSnapshot> changed;
    private final Supplier<Set<TargetId>> closing;
    private final FleetTracker register = FleetTracker.empty();
    private volatile int missing;
    private volatile long wholeAtMillis = Long.MIN_VALUE / 2;

    private FleetFollower(
            Function<KeyedRecord, Optional<TargetEntry>> decoder,
            Consumer<FleetSnapshot> changed,
            Supplier<Set<TargetId>> closing) {
        this.decoder = decoder;
        this.changed = changed;
        this.closing = closing;
    }

    /**
     * Returns a follower that knows no target.
     *
     * @param decoder decodes an entry; empty when it can't be
     * @param changed takes each changed fleet
     * @param closing takes the targets that closed a connection since it was last asked
     * @param control the thread that the follower belongs to
     * @return the follower
     */
    public static FleetFollower of(
            Function<KeyedRecord, Optional<TargetEntry>> decoder,
            Consumer<FleetSnapshot> changed,
            Supplier<Set<TargetId>> closing,
            ControlThread control) {
        Objects.requireNonNull(decoder, "decoder is null");
        FleetFollower follower = new FleetFollower(decoder, changed, closing);
        control.every(EXPIRE_EVERY_MILLIS, follower::expire);
        return follower;
    }

    /**
     * Returns how many targets are kept though the registry lacks them. May be asked by any thread.
     *
     * @return their number, a quarter of a second old at most
     */
    public int missing() {
        return missing;
    }

    /**
     * Returns how old the knowledge of the registry is. May be asked by any thread.
     *
     * @return milliseconds since the time up to which every entry is known; huge before the first
     */
    public long ageMillis() {
        return ControlThread.nowMillis() - wholeAtMillis;
    }

    @Override
    public void onListing(List<KeyedRecord> records) {
        Set<TargetId> listed =
                records.stream()
                        .flatMap(record -> apply(record).stream())
                        .collect(Collectors.toSet());
        long nowMillis = ControlThread.nowMillis();
        register.applyListing(listed, nowMillis)
                .forEach((target, removal) -> tell(target, removal, "listing", nowMillis));
        changed.accept(register.fleet());
    }

    @Override
    public void onRecords(List<KeyedRecord> records) {
        FleetSnapshot before = register.fleet();
        records.forEach(this::apply);
        if (register.fleet() != before) {
            changed.accept(register.fleet());
        }
    }

    /** Takes a record in; returns the target that it describes. */
    private Optional<TargetId> apply(KeyedRecord record) {
        if (record.value().isEmpty()) {
            remove(record);
            return Optional.empty();
        }
        Optional<TargetEntry> entry = decoder.apply(record);
        if (entry.isEmpty()) {
            LOG.warn("event=entry-unreadable key=" + record.key() + " offset=" + record.offset());
        } else if (register.accept(entry.get())) {
            LOG.info("event=target " + describe(entry.get()) + " offset=" + record.offset());
        }
        return entry.map(described -> described.incarnation().target());
    }

    private void remove(KeyedRecord record) {
        targetId(record.key()).ifPresent(target -> remove(target, record.offset()));
    }

    private void remove(TargetId target, long offset) {
        long nowMillis = ControlThread.nowMillis();
        tell(target, register.remove(target, nowMillis), Long.toString(offset), nowMillis);
    }

    private void tell(
            TargetId target, FleetTracker.RemovalOutcome removal, String offset, long nowMillis) {
        String about = " target=" + target + " offset=" + offset;
        if (removal == FleetTracker.RemovalOutcome.DROPPED) {
            LOG.info("event=target-removed" + about);
        } else if (removal == FleetTracker.RemovalOutcome.MISSING) {
            LOG.info(
                    "event=target-missing"
                            + about
                            + " store_back_for_ms="
                            + register.availableForMillis(nowMillis));
        }
    }

    private static Optional<TargetId> targetId(String key) {
        try {
            return Optional.of(TargetId.of(key));
        } catch (TamaracktrackException unreadable) {
            // A key that can't name a target was never taken in, so there is nothing to remove.
            return Optional.empty();
        }
    }

    private static String describe(TargetEntry entry) {
        return "target="
                + entry.incarnation()
                + " service="
                + entry.service()
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
        FleetSnapshot before = register.fleet();
        register.dropMissing(closing.get())
                .forEach(target -> LOG.info("event=target-closing target=" + target));
        register.dropExpired(ControlThread.nowMillis())
                .forEach(target -> LOG.info("event=target-expired target=" + target));
        missing = register.missingCount();
        if (register.fleet() != before) {
            changed.accept(register.fleet());
        }
    }

    @Override
    public void onAway() {
        register.registryUnavailable();
    }

    @Override
    public void onBack(long returnedAtMillis) {
        register.registryAvailable(returnedAtMillis);
    }

    @Override
    public void onWhole(long atMillis) {
        wholeAtMillis = atMillis;
    }
}
