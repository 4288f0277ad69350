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

/** A running entry role: accepts callers' requests and routes them to targets. */
public final class EntryRole implements DaemonRole {
    private static final Logger LOG = Logger.getLogger(EntryRole.class);
    private static final long TICK_MILLIS = 250;
    private static final long HOST_LIST_INTERVAL_MILLIS = 1_000;
    private static final long BODY_TIMEOUT_MILLIS = 15_000;
    private static final long POLL_MILLIS = 20;
    private static final long FINAL_RECORDS_MILLIS = 2_000;
    private static final String COUNTER_SOURCE = "entry";

    private final DaemonRuntime runtime;
    private final TargetDirectory targets;
    private final ClaimService claims;
    private final EntryServices services;
    private final CallerHandler handler;
    private final Duties duties;
    private final CounterPublisher counterPublisher;
    private final InetSocketAddress peerAddress;
    private final AtomicBoolean draining = new AtomicBoolean();
    private final CountDownLatch stopped = new CountDownLatch(1);

    private EntryRole(DaemonRuntime runtime, RoutingKind routing, PlacementKind placement) {
        this.runtime = runtime;
        Counters counters = Counters.empty();
        EntryMetrics metrics = EntryMetrics.of(runtime.metrics(), counters);
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
        peers.setDirectory(targets);
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
                                BODY_TIMEOUT_MILLIS));
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
        this.counterPublisher =
                CounterPublisher.start(
                        runtime.log(),
                        runtime.incarnation(),
                        COUNTER_SOURCE,
                        runtime.settings().reportMillis(),
                        counters);
    }

    /**
     * Starts the role.
     *
     * @param runtime the settings and services of the daemon process
     * @param routing the policy that selects targets for requests
     * @param placement the policy that places models while this daemon holds the placement duty
     * @return the running role
     */
    public static EntryRole start(
            DaemonRuntime runtime, RoutingKind routing, PlacementKind placement) {
        Objects.requireNonNull(runtime, "runtime is null");
        EntryRole role = new EntryRole(runtime, routing, placement);
        role.startFollowing();
        return role;
    }

    private void startFollowing() {
        ControlThread control = runtime.control();
        runtime.configuration()
                .addListener(
                        current -> targets.table().applyConfiguration(current.configuration()));
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
        runtime.hosts().ifPresent(this::startHostListReader);
    }

    private void startHostListReader(HostListClient hosts) {
        Thread thread = new Thread(() -> readHostsUntilStopped(hosts), "host-list");
        thread.setDaemon(true);
        thread.start();
    }

    private void readHostsUntilStopped(HostListClient hosts) {
        boolean reachable = true;
        try {
            while (!stopped.await(HOST_LIST_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)) {
                boolean readSucceeded = readHostsOnce(hosts);
                if (readSucceeded != reachable) {
                    LOG.infof("event=host-list reachable=%s", readSucceeded);
                    reachable = readSucceeded;
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
            runtime.control().post(() -> targets.onHostListRead(leaving));
            return true;
        } catch (TamaracktrackException unreachable) {
            return false;
        }
    }

    /**
     * Returns the HTTP handler for callers' requests.
     *
     * @return the handler
     */
    public HttpHandler callerHandler() {
        return handler;
    }

    /**
     * Returns whether this daemon may act on a duty now. Thread-safe.
     *
     * @param duty the duty
     * @return true while this daemon holds a valid lease for the duty
     */
    public boolean holds(Duty duty) {
        return duties.holds(duty);
    }

    /** Returns the view of the targets. It must be used on the control thread only. */
    TargetView targets() {
        return targets;
    }

    /** Returns the services that the daemon provides to running requests. */
    RequestServices services() {
        return services;
    }

    /** Returns whether a target accepts new requests. Must be called on the control thread. */
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

    // The load balancer notices only after a lag that this daemon is leaving. Requests that it
    // still sends must not fail, so readiness fails first and requests are served until the lag
    // has passed.
    @Override
    public boolean drain() {
        draining.set(true);
        handler.drain();
        long deadlineMillis = ControlThread.nowMillis() + runtime.settings().drainMillis();
        LOG.infof("event=drain-begun in_progress=%d", services.inProgress().size());
        long refusalAtMillis =
                Math.min(
                        deadlineMillis,
                        ControlThread.nowMillis() + runtime.settings().balancerLagMillis());
        waitUntil(() -> false, refusalAtMillis);
        handler.refuseRequests();
        long reserveMillis = Math.min(FINAL_RECORDS_MILLIS, runtime.settings().drainMillis() / 4);
        waitUntil(() -> services.inProgress().isEmpty(), deadlineMillis - reserveMillis);
        int abandoned = abandonRemaining();
        waitUntil(this::allClaimsSettled, deadlineMillis - reserveMillis / 2);
        duties.drain();
        boolean published =
                counterPublisher.drain(Math.max(1, deadlineMillis - ControlThread.nowMillis()));
        stopped.countDown();
        claims.close();
        LOG.infof("event=drain-ended cut=%d last_counters=%s", abandoned, published);
        return abandoned == 0;
    }

    private int abandonRemaining() {
        int abandoned = services.inProgress().size();
        services.inProgress().forEach(RequestRunner::abandon);
        if (abandoned > 0) {
            LOG.warnf("event=drain-deadline cut=%d", abandoned);
            waitUntil(
                    () -> services.inProgress().isEmpty(),
                    ControlThread.nowMillis() + POLL_MILLIS * 10);
        }
        return abandoned;
    }

    private boolean allClaimsSettled() {
        CountDownLatch checked = new CountDownLatch(1);
        AtomicBoolean settled = new AtomicBoolean();
        runtime.control()
                .post(
                        () -> {
                            settled.set(claims.allSettled());
                            checked.countDown();
                        });
        try {
            return checked.await(POLL_MILLIS, TimeUnit.MILLISECONDS) && settled.get();
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
