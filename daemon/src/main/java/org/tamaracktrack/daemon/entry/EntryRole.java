package org.tamaracktrack.daemon.entry;

import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.lease.Duty;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.core.placement.PlacementKind;
import org.tamaracktrack.core.routing.RoutingKind;
import org.tamaracktrack.core.routing.RoutingTable;
import org.tamaracktrack.daemon.counters.CounterPublisher;
import org.tamaracktrack.daemon.counters.Counters;
import org.tamaracktrack.daemon.duty.Duties;
import org.tamaracktrack.daemon.duty.TargetView;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.daemon.runtime.DaemonRole;
import org.tamaracktrack.daemon.runtime.DaemonRuntime;
import org.tamaracktrack.daemon.runtime.LogFollower;
import org.tamaracktrack.link.hosts.HostListClient;

/** The entry role, running. */
public final class EntryRole implements DaemonRole {
    private static final Logger LOG = Logger.getLogger(EntryRole.class);
    private static final long TICK_MILLIS = 250;
    private static final long HOST_LIST_MILLIS = 1_000;
    private static final long BODY_MILLIS = 15_000;
    private static final long POLL_MILLIS = 20;
    private static final long LAST_RECORDS_MILLIS = 2_000;
    private static final String SOURCE = "entry";

    private final DaemonRuntime runtime;
    private final TargetDirectory targets;
    private final ClaimService claims;
    private final EntryServices services;
    private final CallerHandler handler;
    private final Duties duties;
    private final CounterPublisher counters;
    private final InetSocketAddress peerAddress;
    private final AtomicBoolean draining = new AtomicBoolean();
    private final CountDownLatch stopped = new CountDownLatch(1);

    private EntryRole(DaemonRuntime runtime, RoutingKind routing, PlacementKind placement) {
        this.runtime = runtime;
        Counters counted = Counters.empty();
        EntryMetrics metrics = EntryMetrics.of(runtime.metrics(), counted);
        TargetPeers peers =
                TargetPeers.of(
                        runtime.transport(),
                        runtime.control(),
                        runtime.incarnation(),
                        runtime.configuration(),
                        metrics);
        this.targets =
                TargetDirectory.of(
                        peers,
                        RoutingTable.empty(runtime.settings().dataCentre()),
                        routing.policy(),
                        runtime.incarnation().hashCode());
        peers.directory(targets);
        this.claims =
                ClaimService.start(
                        runtime.log(),
                        runtime.control(),
                        runtime.incarnation(),
                        runtime.configuration());
        this.services =
                EntryServices.of(
                        runtime.incarnation(), runtime.control(), targets, claims, metrics);
        this.handler =
                CallerHandler.of(
                        runtime.configuration(),
                        services,
                        AccountRates.empty(),
                        new CallerHandler.CallerLimits(
                                runtime.settings().maximumBodyBytes(),
                                runtime.settings().maximumConnections(),
                                BODY_MILLIS));
        this.peerAddress =
                runtime.transport()
                        .listen(
                                runtime.settings().peerAddress(),
                                EntryPeers.of(
                                        runtime.configuration(),
                                        runtime.incarnation(),
                                        runtime.control(),
                                        targets));
        this.duties = Duties.start(runtime, targets, placement);
        this.counters =
                CounterPublisher.start(
                        runtime.log(),
                        runtime.incarnation(),
                        SOURCE,
                        runtime.settings().reportMillis(),
                        counted);
    }

    /**
     * Starts the role.
     *
     * @param runtime the parts it is built from
     * @param routing how targets are chosen
     * @param placement how models are placed while this daemon holds that duty
     * @return the running role
     */
    public static EntryRole start(
            DaemonRuntime runtime, RoutingKind routing, PlacementKind placement) {
        Objects.requireNonNull(runtime, "runtime is null");
        EntryRole role = new EntryRole(runtime, routing, placement);
        role.follow();
        return role;
    }

    private void follow() {
        ControlThread control = runtime.control();
        runtime.configuration()
                .addListener(current -> targets.table().configure(current.configuration()));
        LogFollower.start(
                runtime.log(),
                LogStream.OWNERSHIP,
                control,
                OwnershipAsker.start(
                        runtime.transport(), control, runtime.settings().peers(), targets));
        LogFollower.start(
                runtime.log(),
                LogStream.PLAN,
                control,
                RecordListener.of(LogStream.PLAN, targets::onPlan));
        control.every(TICK_MILLIS, targets::tick);
        runtime.hosts().ifPresent(this::followHosts);
    }

    private void followHosts(HostListClient hosts) {
        Thread thread = new Thread(() -> readHosts(hosts), "host-list");
        thread.setDaemon(true);
        thread.start();
    }

    private void readHosts(HostListClient hosts) {
        boolean reachable = true;
        try {
            while (!stopped.await(HOST_LIST_MILLIS, TimeUnit.MILLISECONDS)) {
                boolean read = readHostsOnce(hosts);
                if (read != reachable) {
                    LOG.infof("event=host-list reachable=%s", read);
                    reachable = read;
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean readHostsOnce(HostListClient hosts) {
        try {
            Set<HostId> leaving =
                    hosts.read().entrySet().stream()
                            .filter(host -> host.getValue() == HostListClient.HostState.LEAVING)
                            .map(Map.Entry::getKey)
                            .collect(Collectors.toSet());
            runtime.control().post(() -> targets.onHosts(leaving));
            return true;
        } catch (TamaracktrackException unreachable) {
            return false;
        }
    }

    /**
     * Returns what serves callers.
     *
     * @return the handler
     */
    public HttpHandler callers() {
        return handler;
    }

    /**
     * Returns whether this daemon may act on a duty now. For any thread.
     *
     * @param duty the duty
     * @return true while its lease can be trusted
     */
    public boolean holds(Duty duty) {
        return duties.holds(duty);
    }

    /** What is known of the targets; for the control thread. */
    TargetView targets() {
        return targets;
    }

    /** What the daemon does for its requests. */
    RequestServices services() {
        return services;
    }

    /** Whether a target may get new work; for the control thread. */
    boolean accepts(String target) {
        return targets.accepts(TargetId.of(target));
    }

    @Override
    public InetSocketAddress peerAddress() {
        return peerAddress;
    }

    @Override
    public boolean ready() {
        return !draining.get() && runtime.configuration().current().isPresent();
    }

    // The balancer learns late that this daemon leaves. Refusing at once would fail the requests
    // that it still sends, so readiness fails first and the rest goes on for as long as it lags.
    @Override
    public boolean drain() {
        draining.set(true);
        handler.drain();
        long deadline = ControlThread.nowMillis() + runtime.settings().drainMillis();
        LOG.infof("event=drain-begun in_progress=%d", services.inProgress().size());
        long lagEnd =
                Math.min(
                        deadline,
                        ControlThread.nowMillis() + runtime.settings().balancerLagMillis());
        waitUntil(() -> false, lagEnd);
        handler.refuse();
        long reserve = Math.min(LAST_RECORDS_MILLIS, runtime.settings().drainMillis() / 4);
        waitUntil(() -> services.inProgress().isEmpty(), deadline - reserve);
        int cut = cutRemaining();
        waitUntil(this::claimsSettled, deadline - reserve / 2);
        duties.drain();
        boolean published = counters.drain(Math.max(1, deadline - ControlThread.nowMillis()));
        stopped.countDown();
        claims.close();
        LOG.infof("event=drain-ended cut=%d last_counters=%s", cut, published);
        return cut == 0;
    }

    private int cutRemaining() {
        int cut = services.inProgress().size();
        services.inProgress().forEach(RequestRunner::giveUp);
        if (cut > 0) {
            LOG.warnf("event=drain-deadline cut=%d", cut);
            waitUntil(
                    () -> services.inProgress().isEmpty(),
                    ControlThread.nowMillis() + POLL_MILLIS * 10);
        }
        return cut;
    }

    private boolean claimsSettled() {
        CountDownLatch asked = new CountDownLatch(1);
        AtomicBoolean settled = new AtomicBoolean();
        runtime.control()
                .post(
                        () -> {
                            settled.set(claims.settled());
                            asked.countDown();
                        });
        try {
            return asked.await(POLL_MILLIS, TimeUnit.MILLISECONDS) && settled.get();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    @Override
    public int requestsInProgress() {
        return services.inProgress().size();
    }

    private static void waitUntil(BooleanSupplier condition, long deadlineMillis) {
        try {
            while (!condition.getAsBoolean() && ControlThread.nowMillis() < deadlineMillis) {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
