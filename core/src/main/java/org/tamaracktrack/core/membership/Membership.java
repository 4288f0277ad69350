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
 * The targets as one entry daemon sees them. Leaving is learnt from three sources, and the soonest
 * counts: the daemon beside the target, the platform's host list, and an operator's drain record.
 */
public final class Membership {
    /** A quiet target is asked for its load after this. */
    static final long QUERY_MILLIS = 1_000;

    /** A target that has said nothing for this long gets no new work. */
    static final long SUSPECT_MILLIS = 3_000;

    /** The connection to a target that has said nothing for this long is closed. */
    static final long SILENT_MILLIS = 10_000;

    /** A connection that has not opened after this is given up. */
    static final long CONNECT_MILLIS = 3_000;

    private static final Backoff RECONNECT = Backoff.of(100, 3_000);

    private final Map<TargetId, Peer> peers = new TreeMap<>();
    private final Map<TargetId, Boolean> drains = new TreeMap<>();
    private Set<HostId> leavingHosts = Set.of();

    private Membership() {}

    /**
     * Returns a membership that knows no target.
     *
     * @return the membership
     */
    public static Membership empty() {
        return new Membership();
    }

    private enum Link {
        CLOSED,
        CONNECTING,
        OPEN
    }

    private static final class Peer {
        private LogEntry.OwnershipTaken taken;
        private IncarnationId owner;
        private HostId host;
        private String address;
        private long offset;
        private Link link = Link.CLOSED;
        private boolean announcedLeaving;
        private long changedAtMillis;
        private long heardAtMillis;
        private long askedAtMillis;
        private int failures;

        private Peer(LogEntry.OwnershipTaken taken, long offset) {
            own(taken, offset);
        }

        private void own(LogEntry.OwnershipTaken newTaken, long newOffset) {
            taken = newTaken;
            owner = newTaken.owner();
            host = newTaken.host();
            address = newTaken.address();
            offset = newOffset;
            link = Link.CLOSED;
            announcedLeaving = false;
            failures = 0;
        }
    }

    /**
     * Takes a record of the ownership stream.
     *
     * @param record the record
     * @return what to do
     */
    public List<MembershipAction> handle(LogRecord record) {
        Objects.requireNonNull(record, "record is null");
        if (record.entry() instanceof LogEntry.OwnershipTaken taken) {
            return taken(taken, record.offset());
        }
        if (record.entry() instanceof LogEntry.DrainRequested drain) {
            drains.put(drain.target(), drain.leaving());
        }
        return List.of();
    }

    /**
     * Takes an ownership record, from the log or from a peer. Of two for a target the one with the
     * higher offset holds.
     *
     * @param taken the record
     * @param offset its offset
     * @return what to do
     */
    public List<MembershipAction> taken(LogEntry.OwnershipTaken taken, long offset) {
        Objects.requireNonNull(taken, "taken is null");
        Peer peer = peers.get(taken.target());
        if (peer == null) {
            peers.put(taken.target(), new Peer(taken, offset));
            return List.of();
        }
        if (offset <= peer.offset) {
            return List.of();
        }
        if (peer.owner.equals(taken.owner()) && peer.address.equals(taken.address())) {
            peer.offset = offset;
            return List.of();
        }
        IncarnationId former = peer.owner;
        peer.own(taken, offset);
        return List.of(new MembershipAction.Retire(taken.target(), former));
    }

    /**
     * Returns what another daemon needs to know to reach the targets.
     *
     * @return the owner in force of each target
     */
    public List<Message.Owned> owned() {
        return peers.entrySet().stream()
                .map(
                        entry ->
                                new Message.Owned(
                                        entry.getValue().offset,
                                        entry.getValue().taken,
                                        drains.getOrDefault(entry.getKey(), false)))
                .collect(Collectors.toList());
    }

    /**
     * Takes what another daemon knows, while the log can't be read. The log's own records, read
     * later, go before it by their offsets.
     *
     * @param owned the owners that it knows
     * @return what to do
     */
    public List<MembershipAction> offered(List<Message.Owned> owned) {
        owned.forEach(each -> drains.putIfAbsent(each.taken().target(), each.draining()));
        return owned.stream()
                .flatMap(each -> taken(each.taken(), each.offset()).stream())
                .collect(Collectors.toList());
    }

    /**
     * The host list was read. While it can't be read, what it said last holds.
     *
     * @param leaving the hosts that it shows as leaving
     */
    public void listed(Set<HostId> leaving) {
        leavingHosts = Set.copyOf(leaving);
    }

    /**
     * The daemon beside a target said that it is leaving, or that it is not.
     *
     * @param target the target
     * @param owner the daemon
     * @param leaving what it said
     */
    public void announced(TargetId target, IncarnationId owner, boolean leaving) {
        current(target, owner).ifPresent(peer -> peer.announcedLeaving = leaving);
    }

    /**
     * A connection opened and the other end named itself.
     *
     * @param target the target
     * @param owner the daemon there
     * @param nowMillis the time
     */
    public void opened(TargetId target, IncarnationId owner, long nowMillis) {
        current(target, owner)
                .ifPresent(
                        peer -> {
                            peer.link = Link.OPEN;
                            peer.failures = 0;
                            peer.heardAtMillis = nowMillis;
                            peer.askedAtMillis = nowMillis;
                        });
    }

    /**
     * A connection closed or could not be opened.
     *
     * @param target the target
     * @param owner the daemon that was or should have been there
     * @param nowMillis the time
     */
    public void closed(TargetId target, IncarnationId owner, long nowMillis) {
        current(target, owner)
                .ifPresent(
                        peer -> {
                            peer.link = Link.CLOSED;
                            peer.failures++;
                            peer.changedAtMillis = nowMillis;
                        });
    }

    /**
     * Something arrived from a target.
     *
     * @param target the target
     * @param owner the daemon
     * @param nowMillis the time
     */
    public void heard(TargetId target, IncarnationId owner, long nowMillis) {
        current(target, owner).ifPresent(peer -> peer.heardAtMillis = nowMillis);
    }

    private Optional<Peer> current(TargetId target, IncarnationId owner) {
        return Optional.ofNullable(peers.get(target)).filter(peer -> peer.owner.equals(owner));
    }

    /**
     * Time passed.
     *
     * @param nowMillis the time
     * @param seed decides the jitter
     * @return what to do
     */
    public List<MembershipAction> tick(long nowMillis, long seed) {
        return peers.entrySet().stream()
                .flatMap(entry -> tick(entry.getKey(), entry.getValue(), nowMillis, seed).stream())
                .collect(Collectors.toList());
    }

    private Optional<MembershipAction> tick(TargetId target, Peer peer, long nowMillis, long seed) {
        return switch (peer.link) {
            case CLOSED -> connect(target, peer, nowMillis, seed);
            case CONNECTING -> giveUp(target, peer, nowMillis);
            case OPEN -> watch(target, peer, nowMillis);
        };
    }

    private Optional<MembershipAction> connect(
            TargetId target, Peer peer, long nowMillis, long seed) {
        long delay =
                peer.failures == 0
                        ? 0
                        : RECONNECT.delayMillis(peer.failures, seed ^ target.hashCode());
        if (nowMillis - peer.changedAtMillis < delay) {
            return Optional.empty();
        }
        peer.link = Link.CONNECTING;
        peer.changedAtMillis = nowMillis;
        return Optional.of(new MembershipAction.Connect(target, peer.owner, peer.address));
    }

    private Optional<MembershipAction> giveUp(TargetId target, Peer peer, long nowMillis) {
        return nowMillis - peer.changedAtMillis < CONNECT_MILLIS
                ? Optional.empty()
                : Optional.of(new MembershipAction.Close(target, peer.owner));
    }

    // A host that lost its power or its network closes no connection: without this, its requests
    // would wait for their deadlines, and new ones would go on being sent there.
    private Optional<MembershipAction> watch(TargetId target, Peer peer, long nowMillis) {
        long silentMillis = nowMillis - peer.heardAtMillis;
        if (silentMillis >= SILENT_MILLIS) {
            return Optional.of(new MembershipAction.Close(target, peer.owner));
        }
        if (silentMillis >= QUERY_MILLIS && nowMillis - peer.askedAtMillis >= QUERY_MILLIS) {
            peer.askedAtMillis = nowMillis;
            return Optional.of(new MembershipAction.Query(target, peer.owner));
        }
        return Optional.empty();
    }

    /**
     * Returns whether a target may get new work.
     *
     * @param target the target
     * @param nowMillis the time
     * @return true when it is connected, alive and not leaving
     */
    public boolean accepts(TargetId target, long nowMillis) {
        return Optional.ofNullable(peers.get(target))
                .filter(peer -> peer.link == Link.OPEN)
                .filter(peer -> nowMillis - peer.heardAtMillis < SUSPECT_MILLIS)
                .filter(peer -> !leaving(target, peer))
                .isPresent();
    }

    // Each source alone may be late, wrong or silent: the daemon may be gone before it could say
    // so, the list lags, the log may be out. Work sent to a leaving host would be cut, so one
    // source that says leaving is enough, and none overrules another.
    private boolean leaving(TargetId target, Peer peer) {
        return peer.announcedLeaving
                || leavingHosts.contains(peer.host)
                || drains.getOrDefault(target, false);
    }

    /**
     * Returns whether a target is known to be leaving.
     *
     * @param target the target
     * @return true when any source says so
     */
    public boolean leaving(TargetId target) {
        return Optional.ofNullable(peers.get(target))
                .filter(peer -> leaving(target, peer))
                .isPresent();
    }

    /**
     * Returns the daemon that owns a target.
     *
     * @param target the target
     * @return the owner, if one is known
     */
    public Optional<IncarnationId> owner(TargetId target) {
        return Optional.ofNullable(peers.get(target)).map(peer -> peer.owner);
    }
}
