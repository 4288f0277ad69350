package org.tamaracktrack.daemon.gateway;

import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.dispatch.FleetRetryBudget;
import org.tamaracktrack.core.dispatch.LruMap;
import org.tamaracktrack.core.dispatch.RetryAllowance;
import org.tamaracktrack.core.dispatch.RetryAllowances;
import org.tamaracktrack.core.dispatch.ReturningCallerDetector;
import org.tamaracktrack.core.dispatch.TargetSelector;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.quarantine.Quarantine;
import org.tamaracktrack.daemon.load.LoadExchange;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.http.HttpCaller;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** What the requests of a gateway share. Owned by the traffic thread, but for the view. */
final class GatewayServices implements LoadExchange.Timer {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.traffic");

    /** Routes come and go with configurations; those used last are remembered. */
    private static final int MOST_ROUTES = 1_024;

    private final HttpCaller http;
    private final XnioIoThread thread;
    private final CallerDialect dialect;
    private final TargetSelector chooser;
    private final RetryAllowances allowances;
    private final GatewayMetrics metrics;
    private final BooleanSupplier leaving;
    private final RandomGenerator random;
    private final LoadBoard loads = LoadBoard.empty();
    private final WaitingRequests waiting = WaitingRequests.empty();
    private final DemandMeter demand = DemandMeter.empty();
    private final Map<String, ReturningCallerDetector> waits = LruMap.of(MOST_ROUTES);
    private final Set<TargetId> closing = ConcurrentHashMap.newKeySet();
    private final EndedTargets endedTargets = new EndedTargets(this);
    private final KnowledgeGate gate =
            new KnowledgeGate(this, GatewayServices::dayMillis, waiting::retry);
    private final LinkCheck linkCheck;
    private Runnable loadsChanged = () -> {};
    private volatile Quarantine quarantine = Quarantine.empty();
    private volatile GatewayView view = GatewayView.empty();
    private volatile LongSupplier registryAge = () -> -1;

    GatewayServices(
            HttpCaller http,
            XnioIoThread thread,
            CallerDialect dialect,
            TargetSelector chooser,
            FleetRetryBudget retryBudget,
            GatewayMetrics metrics,
            BooleanSupplier leaving,
            RandomGenerator random) {
        this.http = http;
        this.thread = thread;
        this.dialect = dialect;
        this.chooser = chooser;
        this.allowances = RetryAllowances.of(retryBudget, nowMillis(), dayMillis());
        this.metrics = metrics;
        this.leaving = leaving;
        this.random = random;
        this.linkCheck =
                new LinkCheck(
                        http,
                        () -> view.fleet(),
                        ControlThread::nowMillis,
                        new SplittableRandom(random.nextLong()));
    }

    HttpCaller http() {
        return http;
    }

    CallerDialect dialect() {
        return dialect;
    }

    TargetSelector chooser() {
        return chooser;
    }

    GatewayMetrics metrics() {
        return metrics;
    }

    LoadBoard loads() {
        return loads;
    }

    /** What this daemon has at some target has changed. */
    void loadsChanged() {
        loadsChanged.run();
    }

    /** Names who hears that what this daemon has at some target has changed. */
    void onLoadsChanged(Runnable listener) {
        loadsChanged = listener;
    }

    WaitingRequests waiting() {
        return waiting;
    }

    DemandMeter demand() {
        return demand;
    }

    GatewayView view() {
        return view;
    }

    boolean leaving() {
        return leaving.getAsBoolean();
    }

    double draw() {
        return random.nextDouble();
    }

    @Override
    public long nowMillis() {
        return ControlThread.nowMillis();
    }

    private static long dayMillis() {
        return System.currentTimeMillis();
    }

    RetryAllowance allowance(ServiceId service) {
        return allowances.allowance(service, nowMillis(), dayMillis());
    }

    /** This daemon was on a list of daemons, which was true then; for any thread. */
    void listed(int daemons, long atMillis) {
        execute(() -> allowances.recordDaemonCount(daemons, atMillis, nowMillis(), dayMillis()));
    }

    void limit(FleetRetryBudget newer) {
        allowances.updateBudget(newer);
    }

    ReturningCallerDetector callerWaits(String route) {
        return waits.computeIfAbsent(route, name -> ReturningCallerDetector.empty());
    }

    /** An answer of a target closed its connection. */
    void closing(TargetId target) {
        closing.add(target);
    }

    /** Takes the targets that closed a connection since this was last asked; for any thread. */
    Set<TargetId> takeClosing() {
        Set<TargetId> taken = Set.copyOf(closing);
        closing.removeAll(taken);
        return taken;
    }

    Quarantine quarantine() {
        return quarantine;
    }

    /** Takes the requests that targets have ended under; for any thread. */
    void quarantine(Quarantine newer) {
        quarantine = newer;
    }

    EndedTargets endedTargets() {
        return endedTargets;
    }

    KnowledgeGate gate() {
        return gate;
    }

    LinkCheck linkCheck() {
        return linkCheck;
    }

    /**
     * Whether a request may be sent to a target, by what is known at this moment. The target may
     * have said that it leaves since it was chosen.
     */
    boolean mayReach(TargetIncarnation target) {
        return !gate.closed()
                && view.fleet()
                        .entry(target.target())
                        .filter(entry -> entry.incarnation().equals(target))
                        .filter(entry -> !entry.leaving())
                        .isPresent();
    }

    /** Runs a task on the traffic thread, unless that ends; for any thread. */
    void execute(Runnable task) {
        unlessClosed(() -> thread.execute(task));
    }

    @Override
    public void after(long delayMillis, Runnable task) {
        unlessClosed(() -> timer(delayMillis, task));
    }

    private static void unlessClosed(Runnable scheduling) {
        try {
            scheduling.run();
        } catch (RejectedExecutionException closed) {
            LOG.debugf("event=traffic-task-dropped reason=closed");
        }
    }

    /** Runs a task after a delay, unless it is cancelled before. */
    XnioExecutor.Key timer(long delayMillis, Runnable task) {
        return thread.executeAfter(task, Math.max(1, delayMillis), TimeUnit.MILLISECONDS);
    }

    /** Says who knows how old the knowledge of the registry is; for any thread. */
    void registryAge(LongSupplier ageMillis) {
        registryAge = ageMillis;
    }

    long registryAgeMillis() {
        return registryAge.getAsLong();
    }

    /** Takes a newer view; for any thread. */
    void update(GatewayView newer) {
        view = newer;
        execute(
                () -> {
                    loads.keep(newer.fleet());
                    waiting.retry();
                });
    }
}
