package org.tamaracktrack.daemon.entry;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.membership.Membership;
import org.tamaracktrack.core.membership.MembershipAction;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.core.placement.PlanRegister;
import org.tamaracktrack.core.routing.Candidate;
import org.tamaracktrack.core.routing.RoutingPolicy;
import org.tamaracktrack.core.routing.RoutingQuery;
import org.tamaracktrack.core.routing.RoutingTable;
import org.tamaracktrack.daemon.duty.TargetView;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.daemon.settings.IpAddresses;

/**
 * Holds the connections of this daemon to its targets and selects a target for each attempt. All
 * methods must be called on the control thread unless stated otherwise.
 */
final class TargetDirectory implements TargetView {
    private static final Logger LOG = Logger.getLogger(TargetDirectory.class);
    private static final long NO_TARGET_RETRY_MILLIS = 1_000;

    private final TargetPeers peers;
    private final Membership membership = Membership.empty();
    private final RoutingTable table;
    private final RoutingPolicy policy;
    private final PlanRegister plans = PlanRegister.empty();
    private final Map<TargetId, TargetLink> links = new HashMap<>();
    private final Map<AttemptId, RequestRunner> runners = new ConcurrentHashMap<>();
    private long seed;

    private TargetDirectory(
            TargetPeers peers, RoutingTable table, RoutingPolicy policy, long seed) {
        this.peers = peers;
        this.table = table;
        this.policy = policy;
        this.seed = seed;
    }

    static TargetDirectory of(
            TargetPeers peers, RoutingTable table, RoutingPolicy policy, long seed) {
        return new TargetDirectory(peers, table, policy, seed);
    }

    RoutingTable table() {
        return table;
    }

    /** Returns the runners of attempts in progress. The map is thread-safe. */
    Map<AttemptId, RequestRunner> runners() {
        return runners;
    }

    void route(RoutingQuery query, Set<TargetId> tried, AttemptId attempt, RequestRunner runner) {
        long now = ControlThread.nowMillis();
        Predicate<TargetId> usable =
                target -> links.containsKey(target) && membership.accepts(target, now);
        List<Candidate> candidates = table.candidates(query, usable, tried, now);
        Optional<TargetLink> chosen = policy.choose(query, candidates, seed++).map(links::get);
        chosen.ifPresentOrElse(
                link -> {
                    table.recordSent(link.target());
                    runner.targetChosen(attempt, link);
                },
                () -> runner.noTarget(attempt, ErrorCode.NO_TARGET, NO_TARGET_RETRY_MILLIS));
    }

    boolean accepts(TargetId target) {
        return membership.accepts(target, ControlThread.nowMillis());
    }

    void recordEnded(TargetId target) {
        table.recordEnded(target);
    }

    void recordServed(TargetId target, long runMillis) {
        table.recordServed(target, runMillis);
    }

    void onOwnership(LogRecord record) {
        carryOut(membership.handle(record));
    }

    void onOwnershipOffered(List<Message.Owned> owned) {
        carryOut(membership.ownershipOffered(owned));
    }

    List<Message.Owned> ownedTargets() {
        return membership.ownedTargets();
    }

    void onPlan(LogRecord record) {
        plans.handle(record).ifPresent(plan -> table.applyPlan(plan.placements()));
    }

    void onHostListRead(Set<HostId> leaving) {
        membership.hostListRead(leaving);
    }

    void tick() {
        carryOut(membership.tick(ControlThread.nowMillis(), seed++));
    }

    private void carryOut(List<MembershipAction> actions) {
        actions.forEach(this::carryOut);
    }

    private void carryOut(MembershipAction action) {
        if (action instanceof MembershipAction.Connect connect) {
            connect(connect);
        } else if (action instanceof MembershipAction.QueryLoad query) {
            link(query.target(), query.owner())
                    .ifPresent(link -> link.send(new Message.LoadQuery()));
        } else if (action instanceof MembershipAction.Close close) {
            LOG.warnf("event=target-silent target=%s owner=%s", close.target(), close.owner());
            link(close.target(), close.owner()).ifPresent(TargetLink::close);
            onClosed(close.target(), close.owner());
        } else if (action instanceof MembershipAction.Retire retire) {
            closeWhenIdle(retire);
        }
    }

    private void connect(MembershipAction.Connect connect) {
        try {
            InetSocketAddress address = IpAddresses.parse(connect.address());
            peers.connect(connect.target(), connect.owner(), address);
        } catch (TamaracktrackException badAddress) {
            LOG.warnf("event=bad-address target=%s", connect.target());
            membership.connectionClosed(
                    connect.target(), connect.owner(), ControlThread.nowMillis());
        }
    }

    private Optional<TargetLink> link(TargetId target, IncarnationId owner) {
        return Optional.ofNullable(links.get(target)).filter(link -> link.owner().equals(owner));
    }

    // The former owner may still have attempts in progress. Closing its connection now would
    // truncate their answers, so it is closed when they have ended.
    private void closeWhenIdle(MembershipAction.Retire retire) {
        link(retire.target(), retire.owner())
                .ifPresent(
                        link -> {
                            links.remove(retire.target());
                            table.clearLoad(retire.target());
                            peers.closeWhenIdle(link);
                        });
    }

    void onOpened(TargetLink link) {
        LOG.infof("event=target-connected target=%s owner=%s", link.target(), link.owner());
        links.put(link.target(), link);
        membership.connectionOpened(link.target(), link.owner(), ControlThread.nowMillis());
    }

    void onClosed(TargetId target, IncarnationId owner) {
        link(target, owner)
                .ifPresent(
                        link -> {
                            LOG.infof("event=target-disconnected target=%s", target);
                            links.remove(target);
                            table.clearLoad(target);
                        });
        membership.connectionClosed(target, owner, ControlThread.nowMillis());
    }

    void onMessageReceived(TargetLink link) {
        membership.messageReceived(link.target(), link.owner(), ControlThread.nowMillis());
    }

    void onLoad(TargetLink link, Message.Load load) {
        if (links.get(link.target()) == link && load.target().equals(link.target())) {
            membership.leavingAnnounced(link.target(), link.owner(), load.leaving());
            table.recordLoad(load, ControlThread.nowMillis());
        }
    }

    void onLeaving(TargetLink link) {
        LOG.infof("event=target-leaving target=%s", link.target());
        membership.leavingAnnounced(link.target(), link.owner(), true);
    }

    @Override
    public Map<TargetId, TargetView.TargetObservation> targets() {
        return table.loads(ControlThread.nowMillis()).entrySet().stream()
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey,
                                entry ->
                                        new TargetView.TargetObservation(
                                                entry.getValue().load(),
                                                entry.getValue().ageMillis(),
                                                links.containsKey(entry.getKey()))));
    }
}
