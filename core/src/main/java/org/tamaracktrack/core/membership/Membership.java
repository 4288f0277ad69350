package org.tamaracktrack.core.membership;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.core.retry.Backoff;

/**
 * Tracks the state of all targets for one entry daemon. Whether a target is leaving is learnt from
 * three sources, of which the earliest counts: the daemon beside the target, the host list of the
 * platform, and the drain record of an operator.
 */
public final class Membership {
    /** The load of a target is queried when nothing was received from it for this long. */
    static final long LOAD_QUERY_AFTER_MILLIS = 1_000;

    /** A target from which nothing was received for this long gets no new requests. */
    static final long SUSPECT_AFTER_MILLIS = 3_000;

    /** A connection on which nothing was received for this long is closed. */
    static final long CLOSE_AFTER_MILLIS = 10_000;

    /** A connection that was not established after this is closed. */
    static final long CONNECT_TIMEOUT_MILLIS = 3_000;

    private static final Backoff RECONNECT_BACKOFF = Backoff.of(100, 3_000);

    private final Map<TargetId, TargetState> targets = new TreeMap<>();
    private final Map<TargetId, Boolean> drains = new TreeMap<>();
    private Set<HostId> leavingHosts = Set.of();

    private Membership() {}

    /**
     * Returns a membership without targets.
     *
     * @return the membership
     */
    public static Membership empty() {
        return new Membership();
    }

    private enum ConnectionState {
        CLOSED,
        CONNECTING,
        OPEN
    }

    private static final class TargetState {
        private LogEntry.OwnershipTaken ownership;
        private IncarnationId owner;
        private HostId host;
        private String address;
        private long offset;
        private ConnectionState connection = ConnectionState.CLOSED;
        private boolean announcedLeaving;
        private long connectionChangedMillis;
        private long lastReceivedMillis;
        private long lastQueryMillis;
        private int failures;

        private TargetState(LogEntry.OwnershipTaken taken, long offset) {
            setOwner(taken, offset);
        }

        private void setOwner(LogEntry.OwnershipTaken newTaken, long newOffset) {
            ownership = newTaken;
            owner = newTaken.owner();
            host = newTaken.host();
            address = newTaken.address();
            offset = newOffset;
            connection = ConnectionState.CLOSED;
            announcedLeaving = false;
            failures = 0;
        }
    }

    /**
     * Applies a record of the ownership stream.
     *
     * @param record the record
     * @return the actions to take
     */
    public List<MembershipAction> handle(LogRecord record) {
        Objects.requireNonNull(record, "record is null");
        if (record.entry() instanceof LogEntry.OwnershipTaken taken) {
            return ownershipTaken(taken, record.offset());
        }
        if (record.entry() instanceof LogEntry.DrainRequested drain) {
            drains.put(drain.target(), drain.leaving());
        }
        return List.of();
    }

    /**
     * Applies an ownership record from the log or from a peer. Of two records for a target, the one
     * with the higher offset is in force.
     *
     * @param taken the record
     * @param offset the offset of the record
     * @return the actions to take
     */
    public List<MembershipAction> ownershipTaken(LogEntry.OwnershipTaken taken, long offset) {
        Objects.requireNonNull(taken, "taken is null");
        TargetState state = targets.get(taken.target());
        if (state == null) {
            targets.put(taken.target(), new TargetState(taken, offset));
            return List.of();
        }
        if (offset <= state.offset) {
            return List.of();
        }
        if (state.owner.equals(taken.owner()) && state.address.equals(taken.address())) {
            state.offset = offset;
            return List.of();
        }
        IncarnationId former = state.owner;
        state.setOwner(taken, offset);
        return List.of(new MembershipAction.Retire(taken.target(), former));
    }

    /**
     * Returns the ownership records that another daemon needs to reach the targets.
     *
     * @return the owner in force of each target
     */
    public List<Message.Owned> ownedTargets() {
        return targets.entrySet().stream()
                .map(
                        entry ->
                                new Message.Owned(
                                        entry.getValue().offset,
                                        entry.getValue().ownership,
                                        drains.getOrDefault(entry.getKey(), false)))
                .collect(Collectors.toList());
    }

    /**
     * Applies the ownership records of another daemon while the log cannot be read. Records that
     * are read from the log later take precedence by their offsets.
     *
     * @param owned the ownership records of the other daemon
     * @return the actions to take
     */
    public List<MembershipAction> ownershipOffered(List<Message.Owned> owned) {
        owned.forEach(each -> drains.putIfAbsent(each.taken().target(), each.draining()));
        return owned.stream()
                .flatMap(each -> ownershipTaken(each.taken(), each.offset()).stream())
                .collect(Collectors.toList());
    }

    /**
     * Applies a new host list. While the list cannot be read, the previous one remains in force.
     *
     * @param leaving the hosts that the list shows as leaving
     */
    public void hostListRead(Set<HostId> leaving) {
        leavingHosts = Set.copyOf(leaving);
    }

    /**
     * Records that the daemon beside a target announced that it is leaving, or that it is not.
     *
     * @param target the target
     * @param owner the daemon
     * @param leaving whether it is leaving
     */
    public void leavingAnnounced(TargetId target, IncarnationId owner, boolean leaving) {
        findOwned(target, owner).ifPresent(state -> state.announcedLeaving = leaving);
    }

    /**
     * Records that a connection was established and the other end identified itself.
     *
     * @param target the target
     * @param owner the daemon at the other end
     * @param nowMillis the monotonic time in milliseconds
     */
    public void connectionOpened(TargetId target, IncarnationId owner, long nowMillis) {
        findOwned(target, owner)
                .ifPresent(
                        state -> {
                            state.connection = ConnectionState.OPEN;
                            state.failures = 0;
                            state.lastReceivedMillis = nowMillis;
                            state.lastQueryMillis = nowMillis;
                        });
    }

    /**
     * Records that a connection was closed or could not be established.
     *
     * @param target the target
     * @param owner the daemon that was or should have been at the other end
     * @param nowMillis the monotonic time in milliseconds
     */
    public void connectionClosed(TargetId target, IncarnationId owner, long nowMillis) {
        findOwned(target, owner)
                .ifPresent(
                        state -> {
                            state.connection = ConnectionState.CLOSED;
                            state.failures++;
                            state.connectionChangedMillis = nowMillis;
                        });
    }

    /**
     * Records that a message was received from a target.
     *
     * @param target the target
     * @param owner the daemon
     * @param nowMillis the monotonic time in milliseconds
     */
    public void messageReceived(TargetId target, IncarnationId owner, long nowMillis) {
        findOwned(target, owner).ifPresent(state -> state.lastReceivedMillis = nowMillis);
    }

    private Optional<TargetState> findOwned(TargetId target, IncarnationId owner) {
        return Optional.ofNullable(targets.get(target)).filter(state -> state.owner.equals(owner));
    }

    /**
     * Handles the passing of time: opens, checks and closes connections as needed.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @param seed the seed of the reconnect jitter
     * @return the actions to take
     */
    public List<MembershipAction> tick(long nowMillis, long seed) {
        return targets.entrySet().stream()
                .flatMap(entry -> tick(entry.getKey(), entry.getValue(), nowMillis, seed).stream())
                .collect(Collectors.toList());
    }

    private Optional<MembershipAction> tick(
            TargetId target, TargetState state, long nowMillis, long seed) {
        return switch (state.connection) {
            case CLOSED -> connect(target, state, nowMillis, seed);
            case CONNECTING -> closeIfConnectTimedOut(target, state, nowMillis);
            case OPEN -> checkSilence(target, state, nowMillis);
        };
    }

    private Optional<MembershipAction> connect(
            TargetId target, TargetState state, long nowMillis, long seed) {
        long delay =
                state.failures == 0
                        ? 0
                        : RECONNECT_BACKOFF.delayMillis(state.failures, seed ^ target.hashCode());
        if (nowMillis - state.connectionChangedMillis < delay) {
            return Optional.empty();
        }
        state.connection = ConnectionState.CONNECTING;
        state.connectionChangedMillis = nowMillis;
        return Optional.of(new MembershipAction.Connect(target, state.owner, state.address));
    }

    private Optional<MembershipAction> closeIfConnectTimedOut(
            TargetId target, TargetState state, long nowMillis) {
        return nowMillis - state.connectionChangedMillis < CONNECT_TIMEOUT_MILLIS
                ? Optional.empty()
                : Optional.of(new MembershipAction.Close(target, state.owner));
    }

    // A host that lost its power or its network does not close its connections. Without this check
    // its requests would wait for their deadlines, and new requests would still be sent there.
    private Optional<MembershipAction> checkSilence(
            TargetId target, TargetState state, long nowMillis) {
        long silentMillis = nowMillis - state.lastReceivedMillis;
        if (silentMillis >= CLOSE_AFTER_MILLIS) {
            return Optional.of(new MembershipAction.Close(target, state.owner));
        }
        if (silentMillis >= LOAD_QUERY_AFTER_MILLIS
                && nowMillis - state.lastQueryMillis >= LOAD_QUERY_AFTER_MILLIS) {
            state.lastQueryMillis = nowMillis;
            return Optional.of(new MembershipAction.QueryLoad(target, state.owner));
        }
        return Optional.empty();
    }

    /**
     * Returns whether new requests may be sent to a target.
     *
     * @param target the target
     * @param nowMillis the monotonic time in milliseconds
     * @return true when it is connected, alive and not leaving
     */
    public boolean accepts(TargetId target, long nowMillis) {
        return Optional.ofNullable(targets.get(target))
                .filter(state -> state.connection == ConnectionState.OPEN)
                .filter(state -> nowMillis - state.lastReceivedMillis < SUSPECT_AFTER_MILLIS)
                .filter(state -> !isLeaving(target, state))
                .isPresent();
    }

    // Each source alone may be late, wrong or missing: the daemon may end before it can announce,
    // the host list lags, and the log may be unavailable. Requests sent to a leaving host would be
    // cut off, so one source that reports leaving is enough, and none overrides another.
    private boolean isLeaving(TargetId target, TargetState state) {
        return state.announcedLeaving
                || leavingHosts.contains(state.host)
                || drains.getOrDefault(target, false);
    }

    /**
     * Returns whether a target is known to be leaving.
     *
     * @param target the target
     * @return true when at least one source reports that it is leaving
     */
    public boolean isLeaving(TargetId target) {
        return Optional.ofNullable(targets.get(target))
                .filter(state -> isLeaving(target, state))
                .isPresent();
    }

    /**
     * Returns the daemon that owns a target.
     *
     * @param target the target
     * @return the owner, if one is known
     */
    public Optional<IncarnationId> owner(TargetId target) {
        return Optional.ofNullable(targets.get(target)).map(state -> state.owner);
    }
}
