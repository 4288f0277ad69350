package org.tamaracktrack.daemon.gateway;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.account.Account;
import org.tamaracktrack.core.admission.SharedAccountUsage;
import org.tamaracktrack.core.delay.SocketDelay;
import org.tamaracktrack.core.dispatch.ConnectionShare;
import org.tamaracktrack.core.dispatch.FleetRetryBudget;
import org.tamaracktrack.core.dispatch.LruMap;
import org.tamaracktrack.core.dispatch.Peer;
import org.tamaracktrack.core.dispatch.RetryAllowance;
import org.tamaracktrack.core.dispatch.RetryAllowances;
import org.tamaracktrack.core.dispatch.ReturningCallerDetector;
import org.tamaracktrack.core.dispatch.TargetActivity;
import org.tamaracktrack.core.dispatch.TargetLoad;
import org.tamaracktrack.core.dispatch.TargetSelector;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.SoftwareVersion;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.knowledge.DualTimestamp;
import org.tamaracktrack.core.quarantine.PartFingerprint;
import org.tamaracktrack.core.quarantine.ProvenParts;
import org.tamaracktrack.core.quarantine.Quarantine;
import org.tamaracktrack.core.quarantine.Suspect;
import org.tamaracktrack.core.quota.QuotaMember;
import org.tamaracktrack.core.route.RequestAuthorization;
import org.tamaracktrack.core.route.ServiceSpecification;
import org.tamaracktrack.core.route.ServingConfiguration;
import org.tamaracktrack.core.shedding.ConnectionShedder;
import org.tamaracktrack.core.stream.OriginFinding;
import org.tamaracktrack.core.stream.OriginMessage;
import org.tamaracktrack.core.stream.StreamOrigin;
import org.tamaracktrack.daemon.load.Datagrams;
import org.tamaracktrack.daemon.load.LoadExchange;
import org.tamaracktrack.daemon.load.UsageExchange;
import org.tamaracktrack.daemon.quota.QuotaExchange;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.daemon.stream.OriginExchange;
import org.tamaracktrack.link.http.HttpCaller;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * The state and services that the requests of a gateway share. Owned by the traffic thread, except
 * where stated otherwise.
 */
final class GatewayContext implements LoadExchange.Timer {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.traffic");

    /** Configurations add and remove routes; only the most recently used are kept. */
    private static final int MAX_TRACKED_ROUTES = 1_024;

    private static final long CONNECTION_CHECK_MILLIS = 500;

    /** Interval at which the delay of the traffic thread is measured. */
    static final long TICK_MILLIS = ConnectionShedder.TICK_MILLIS;

    private final HttpCaller http;
    private final XnioIoThread thread;
    private final HeaderProtocol protocol;
    private final TargetSelector targetSelector;
    private final RetryAllowances retryAllowances;
    private final GatewayMetrics metrics;
    private final PlannedStop stop;
    private final RandomGenerator random;
    private final TargetLoads loads = TargetLoads.empty(ControlThread::nowMillis);
    private final WaitingRequests waiting = WaitingRequests.empty();
    private final DemandMeter demand = DemandMeter.empty();
    private final Map<String, ReturningCallerDetector> returningCallers =
            LruMap.of(MAX_TRACKED_ROUTES);
    private final Set<TargetId> closing = ConcurrentHashMap.newKeySet();
    private final ProvenParts provenParts = ProvenParts.empty();
    private final DepartureMonitor departures = new DepartureMonitor(this);
    private final TargetEndDetector targetEndDetector = new TargetEndDetector(this);
    private final TargetReachability targetReachability = new TargetReachability(this);
    private final StalenessGate gate =
            new StalenessGate(this, GatewayContext::dayMillis, this::retryWaiting);
    private final AdmissionControl admission;
    private final LinkCheck linkCheck;
    private final RestingTargets restingTargets;
    private final SocketDelay socketDelay = SocketDelay.of(TICK_MILLIS, now());
    private Runnable loadsChangeListener = () -> {};
    private final SharedAccountUsage accountUsage = SharedAccountUsage.empty();
    private Runnable usageChangeListener = () -> {};
    private Supplier<LoadExchange.PeerLoad> peerLoad = () -> LoadExchange.PeerLoad.NONE;
    private volatile Quarantine quarantine = Quarantine.empty();
    private volatile TrialAuthority trialAuthority = TrialAuthority.NONE;
    private volatile GatewayView view = GatewayView.empty();
    private volatile int daemonCount;
    private Optional<QuotaExchange> quotas = Optional.empty();
    private volatile Optional<OriginExchange> origins = Optional.empty();
    private volatile KeyFreshness keyFreshness = KeyFreshness.notRequired();
    private volatile LongSupplier registryAge = () -> -1;
    private volatile Consumer<TargetIncarnation> leavingListener = incarnation -> {};

    GatewayContext(
            HttpCaller http,
            XnioIoThread thread,
            HeaderProtocol protocol,
            TargetSelector targetSelector,
            FleetRetryBudget retryBudget,
            GatewayMetrics metrics,
            PlannedStop stop,
            RandomGenerator random) {
        this.http = http;
        this.thread = thread;
        this.protocol = protocol;
        this.targetSelector = targetSelector;
        this.retryAllowances = RetryAllowances.of(retryBudget, now());
        this.metrics = metrics;
        this.stop = stop;
        this.random = random;
        this.admission = new AdmissionControl(this, accountUsage);
        this.linkCheck =
                new LinkCheck(
                        http,
                        () -> view.fleet(),
                        ControlThread::nowMillis,
                        new SplittableRandom(random.nextLong()));
        this.restingTargets = RestingTargets.of(ControlThread::nowMillis, this::draw, metrics);
    }

    HttpCaller http() {
        return http;
    }

    HeaderProtocol protocol() {
        return protocol;
    }

    TargetSelector targetSelector() {
        return targetSelector;
    }

    GatewayMetrics metrics() {
        return metrics;
    }

    TargetLoads loads() {
        return loads;
    }

    /** Notifies the listener that the load of this daemon at some target has changed. */
    void notifyLoadsChanged() {
        loadsChangeListener.run();
        admission.passSoon();
    }

    /** Sets the exchange by which daemons tell each other their load at targets. */
    void exchangesLoads(LoadExchange exchange) {
        loadsChangeListener = exchange::onLoadChanged;
        peerLoad = exchange::peerLoad;
    }

    /** Returns the load of the other daemons; nothing before they exchange it. */
    LoadExchange.PeerLoad peerLoad() {
        return peerLoad.get();
    }

    /** Returns whether daemons tell each other the usage of client accounts at present. */
    boolean exchangesUsage() {
        return keysRequired() && admission.isOnForAny();
    }

    /** Starts to exchange the usage of client accounts with other daemons. Safe for any thread. */
    UsageExchange startUsageExchange(String process, Datagrams datagrams) {
        UsageExchange exchange =
                UsageExchange.of(process, datagrams, this, accountUsage, this::exchangesUsage);
        execute(() -> usageChangeListener = exchange::onUsageChanged);
        return exchange;
    }

    /** Starts to publish the usage of client accounts. */
    void monitorUsage() {
        scheduleUsageCheck(AccountShareMonitor.of(accountUsage, metrics, this::exchangesUsage));
    }

    private void scheduleUsageCheck(AccountShareMonitor monitor) {
        after(
                AccountShareMonitor.INTERVAL_MILLIS,
                () -> {
                    scheduleUsageCheck(monitor);
                    monitor.check(nowMillis());
                });
    }

    /**
     * Records the usage of a request that is sent to a target.
     *
     * @return to be run once, at the end of the request
     */
    Runnable beginUsage(ServiceId service, ClientAccountId account, long tokens) {
        accountUsage.recordSent(service, account, tokens);
        usageChangeListener.run();
        return () -> {
            accountUsage.recordEnd(service, account, tokens);
            usageChangeListener.run();
        };
    }

    /** Turns admission control on for all services, or only where targets report work times. */
    void controlAdmission(boolean always) {
        admission.always(always);
        quotas.ifPresent(exchange -> exchange.spreadReturns(always));
    }

    AdmissionControl admission() {
        return admission;
    }

    private void retryWaiting() {
        waiting.retryAll();
        admission.passSoon();
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
        return stop.getAsBoolean();
    }

    /** Returns the planned stop of this daemon, which may not have begun. */
    PlannedStop stop() {
        return stop;
    }

    double draw() {
        return random.nextDouble();
    }

    @Override
    public long nowMillis() {
        return ControlThread.nowMillis();
    }

    static long dayMillis() {
        return System.currentTimeMillis();
    }

    RetryAllowance retryAllowance(ServiceId service) {
        return retryAllowances.allowance(service, now());
    }

    /**
     * Records a request of a caller that earns retries.
     *
     * @param arrivedMillis when its head was read
     */
    void recordRequest(ServiceId service, long arrivedMillis) {
        DualTimestamp now = now();
        retryAllowances
                .allowance(service, now)
                .recordRequest(earliestSentMillis(arrivedMillis), now.steadyMillis());
    }

    /**
     * Returns the earliest time at which the sender of data may have sent it.
     *
     * @param readMillis when the data was read from a socket of this daemon
     */
    long earliestSentMillis(long readMillis) {
        return readMillis - socketDelay.maxMillis(now());
    }

    /** Returns the activity of a run of a target. */
    TargetActivity activityOf(TargetEntry entry) {
        return new ObservedTarget(this, entry);
    }

    /** Records that a request is sent to a target, whose activity is given. */
    void recordSend(TargetEntry entry, TargetActivity activity) {
        retryAllowances.recordSend(entry, activity, nowMillis());
    }

    /** Returns how long data may have waited in the sockets that this daemon reads. */
    SocketDelay socketDelay() {
        return socketDelay;
    }

    /** Returns the longest time for which data that is read now may have waited unread. */
    long threadDelayMillis() {
        return socketDelay.maxMillis(now());
    }

    void updateRetryBudget(FleetRetryBudget newer) {
        retryAllowances.updateBudget(newer);
    }

    ReturningCallerDetector returningCallerDetector(String route) {
        return returningCallers.computeIfAbsent(route, name -> ReturningCallerDetector.empty());
    }

    /** Records that a response of the target closed its connection. */
    void recordClosing(TargetId target) {
        closing.add(target);
    }

    /**
     * Returns the targets that closed a connection since the previous call. Safe for use by any
     * thread.
     */
    Set<TargetId> takeClosingTargets() {
        Set<TargetId> taken = Set.copyOf(closing);
        closing.removeAll(taken);
        return taken;
    }

    /** Sets the listener for targets that have stated that they leave. Safe for any thread. */
    void leavingListener(Consumer<TargetIncarnation> listener) {
        leavingListener = listener;
    }

    /**
     * Records that an answer of a target states that it leaves. From the return of this method on,
     * no request is begun there, whether or not the registry says so or can be read. Safe for use
     * by any thread.
     */
    void recordLeaving(TargetIncarnation incarnation) {
        if (changeView(current -> current.withLeaving(incarnation))) {
            LOG.info("event=target-leaving target=" + incarnation + " source=answer");
            leavingListener.accept(incarnation);
        }
    }

    Quarantine quarantine() {
        return quarantine;
    }

    /** Replaces the suspects under which targets have ended. Safe for use by any thread. */
    void quarantine(Quarantine newer) {
        Quarantine previous = quarantine;
        quarantine = newer;
        execute(
                () -> {
                    newer.suspects().stream()
                            .filter(suspect -> !previous.suspects().contains(suspect))
                            .filter(this::isExcused)
                            .forEach(targetEndDetector::recordAnswer);
                    if (!newer.held().keySet().equals(previous.held().keySet())) {
                        retryWaiting();
                    }
                });
    }

    /** Records that a target has answered a prompt with a part. */
    void recordProven(PartFingerprint part) {
        provenParts.record(part, nowMillis());
    }

    /** Returns whether a target has recently answered a prompt with a part. */
    boolean isProven(PartFingerprint part) {
        return provenParts.contains(part, nowMillis());
    }

    /** Returns whether a suspect is not suspected of the end of a target now. */
    boolean isExcused(Suspect suspect) {
        return provenParts.excuses(suspect, nowMillis());
    }

    /** Sets what permits requests with held suspects. Safe for use by any thread. */
    void trialAuthority(TrialAuthority authority) {
        trialAuthority = authority;
    }

    TrialAuthority trialAuthority() {
        return trialAuthority;
    }

    DepartureMonitor departures() {
        return departures;
    }

    TargetEndDetector targetEndDetector() {
        return targetEndDetector;
    }

    TargetReachability targetReachability() {
        return targetReachability;
    }

    StalenessGate gate() {
        return gate;
    }

    /** Authorizes a request by a configuration. */
    RequestAuthorization authorize(
            ServingConfiguration configuration, RequestAuthorization.Origin origin) {
        return RequestAuthorization.of(configuration, origin, keyFreshness.confirmed(now()));
    }

    /** Authorizes a request by the configuration in force. */
    RequestAuthorization authorize(RequestAuthorization.Origin origin) {
        return authorize(view.configuration().orElseThrow(), origin);
    }

    /**
     * Returns whether a version is the one in force, and recent enough for its keys to be accepted.
     */
    boolean isInForce(long version) {
        return view.configuration().filter(current -> current.version() == version).isPresent()
                && keyFreshness.confirmed(now());
    }

    /** Returns whether the configuration in force has client accounts. */
    boolean keysRequired() {
        return view.configuration()
                .filter(configuration -> configuration.accounts().keysRequired())
                .isPresent();
    }

    /** Sets the exchange that enforces quotas. */
    void quotas(QuotaExchange exchange) {
        quotas = Optional.of(exchange);
        exchange.spreadReturns(admission.isOnForAll());
        activateQuotas();
        metrics.registerQuotaAuthority(exchange::authority);
    }

    private void activateQuotas() {
        boolean needed =
                view.configuration()
                        .filter(configuration -> configuration.accounts().hasQuotas())
                        .isPresent();
        quotas.ifPresent(exchange -> exchange.activate(needed));
    }

    /** Enforces quotas without other daemons. */
    void enforceQuotasAlone() {
        quotas.ifPresent(QuotaExchange::continueAlone);
    }

    RestingTargets restingTargets() {
        return restingTargets;
    }

    /** Returns the number of requests that this daemon may have at a target; 0 while it rests. */
    int maximumRequests(TargetEntry entry) {
        return restingTargets.permits(entry) ? connectionShare(entry) : 0;
    }

    /** Returns the same for a request that another target has refused. */
    int maximumRequestsForRetry(TargetEntry entry) {
        int maximum =
                loads.of(entry.incarnation())
                        .maximumForRetries(nowMillis(), socketDelay.maxMillis(now()));
        return Math.min(maximum, maximumRequests(entry));
    }

    /** Returns the number of connections that this daemon may have to a target. */
    int connectionShare(TargetEntry entry) {
        int maximum =
                view.configuration()
                        .flatMap(configuration -> configuration.service(entry.service()))
                        .map(ServiceSpecification::maximumConnections)
                        .orElse(0);
        TargetLoad load = loads.of(entry.incarnation());
        return ConnectionShare.of(
                maximum,
                daemonCount,
                load.ownShare().outstanding(),
                load.othersOutstanding(nowMillis()));
    }

    // Idle connections beyond the share of this daemon keep out requests of the others.
    private void closeExcessConnections() {
        view.fleet()
                .all()
                .forEach(
                        entry ->
                                http.limitConnections(
                                        new InetSocketAddress(
                                                entry.address().ip(), entry.address().port()),
                                        connectionShare(entry)));
        after(CONNECTION_CHECK_MILLIS, this::closeExcessConnections);
    }

    /** Starts to close idle connections beyond the shares of this daemon. */
    void limitConnections() {
        execute(this::closeExcessConnections);
    }

    /** Applies a list of daemons that includes this one. Safe for use by any thread. */
    void updateDaemons(Set<Peer> daemons, long atMillis) {
        execute(
                () -> {
                    daemonCount = daemons.size();
                    quotas.ifPresent(exchange -> exchange.updateDaemons(daemons, atMillis));
                    origins.ifPresent(exchange -> exchange.updateDaemons(daemons));
                    retryAllowances.recordDaemonCount(daemons.size(), atMillis, now());
                });
    }

    int daemonCount() {
        return daemonCount;
    }

    /** Returns a number that messages of earlier runs at the same address have not reached. */
    long firstMessageNumber() {
        return random.nextLong() >>> 1;
    }

    /**
     * Asks whether the quota of an account has room for a request. An account without a quota has
     * room at once; without an exchange, an account with a quota has none.
     */
    void acquireQuota(
            Optional<Account> account,
            long version,
            OptionalLong statedTokens,
            Consumer<QuotaMember.Decision> listener) {
        boolean limited = account.filter(known -> known.quota().isPresent()).isPresent();
        if (!limited) {
            listener.accept(QuotaMember.Decision.unlimited());
        } else if (quotas.isEmpty()) {
            listener.accept(QuotaMember.Decision.undecided());
        } else {
            quotas.get().acquire(account.get(), version, statedTokens, listener);
        }
    }

    /** Returns what a request has taken from a quota and did not use. */
    void giveBackQuota(QuotaMember.Permit permit) {
        quotas.ifPresent(exchange -> exchange.giveBack(permit));
    }

    /** Sets the exchange by which daemons remember where streams began. */
    void origins(OriginExchange exchange) {
        origins = Optional.of(exchange);
        updateOrigins(view);
    }

    private void updateOrigins(GatewayView newer) {
        long longestTimeoutMillis =
                newer.configuration()
                        .map(configuration -> configuration.routes().longestTimeoutMillis())
                        .orElse(0L);
        origins.ifPresent(exchange -> exchange.update(newer.fleet(), longestTimeoutMillis));
    }

    /** Applies the versions that served before the start of this daemon. */
    void recordEarlierVersions(Map<ServiceId, Set<SoftwareVersion>> versions) {
        execute(() -> origins.ifPresent(exchange -> exchange.recordEarlierVersions(versions)));
    }

    /** Applies origins that daemons kept before they ended. Safe for use by any thread. */
    void recordArchivedOrigins(Collection<OriginMessage.Begun> streams) {
        execute(() -> origins.ifPresent(exchange -> exchange.recordArchived(streams)));
    }

    /** Returns the recent software versions of each service. Safe for use by any thread. */
    Map<ServiceId, Set<SoftwareVersion>> recentVersions() {
        return origins.map(OriginExchange::recentVersions).orElse(Map.of());
    }

    /** Records where a stream began, before its first event is forwarded. */
    void recordBegun(String attempt, StreamOrigin origin) {
        origins.ifPresent(exchange -> exchange.recordBegun(attempt, origin));
    }

    /** Searches where a stream began that a caller takes up at a service. */
    void findOrigin(Optional<String> attempt, ServiceId service, Consumer<OriginFinding> listener) {
        updateOrigins(view);
        origins.ifPresentOrElse(
                exchange -> exchange.find(attempt, service, new ViewedRegistry(this), listener),
                () -> listener.accept(OriginFinding.unknown(0)));
    }

    /** Sets how recent the configuration must be for keys to be accepted. */
    void keyFreshness(KeyFreshness newer) {
        keyFreshness = newer;
    }

    /** Returns the version and age of the configuration in force, for logs. */
    String configurationState() {
        return "configuration="
                + view.configuration().map(ServingConfiguration::version).orElse(-1L)
                + " configuration_age_ms="
                + keyFreshness.ageMillis(now());
    }

    DualTimestamp now() {
        return Clocks.now();
    }

    LinkCheck linkCheck() {
        return linkCheck;
    }

    /** Returns whether the registry has this run of a target. */
    boolean isKnown(TargetIncarnation incarnation) {
        return view.fleet()
                .entry(incarnation.target())
                .filter(entry -> entry.incarnation().equals(incarnation))
                .isPresent();
    }

    /**
     * Returns whether a request may be sent to a target now. Since it was selected, the target may
     * have started to leave, or started again, possibly with other software, or asked for a rest.
     */
    boolean maySendTo(TargetEntry selected) {
        return !gate.isClosed()
                && restingTargets.permits(selected)
                && view.fleet()
                        .entry(selected.incarnation().target())
                        .filter(entry -> entry.incarnation().equals(selected.incarnation()))
                        .filter(entry -> entry.version().equals(selected.version()))
                        .filter(entry -> !entry.leaving())
                        .isPresent();
    }

    /**
     * Runs a task on the traffic thread; drops it when the thread has ended. Safe for use by any
     * thread.
     */
    void execute(Runnable task) {
        dropIfClosed(() -> thread.execute(task));
    }

    @Override
    public void after(long delayMillis, Runnable task) {
        dropIfClosed(() -> timer(delayMillis, task));
    }

    private static void dropIfClosed(Runnable scheduling) {
        try {
            scheduling.run();
        } catch (RejectedExecutionException closed) {
            LOG.debugf("event=traffic-task-dropped reason=closed");
        }
    }

    /** Runs a task after a delay unless the returned key cancels it first. */
    XnioExecutor.Key timer(long delayMillis, Runnable task) {
        return thread.executeAfter(task, Math.max(1, delayMillis), TimeUnit.MILLISECONDS);
    }

    /** Sets the source of the age of the registry's information. Safe for use by any thread. */
    void registryAge(LongSupplier ageMillis) {
        registryAge = ageMillis;
    }

    long registryAgeMillis() {
        return registryAge.getAsLong();
    }

    // The control thread applies what the store says while the traffic thread applies what targets
    // state. If one replaced what the other has just written, a leaving target would be used again.
    private synchronized boolean changeView(UnaryOperator<GatewayView> change) {
        GatewayView previous = view;
        view = change.apply(previous);
        return view != previous;
    }

    /** Changes the view. Safe for use by any thread. */
    void update(UnaryOperator<GatewayView> change) {
        changeView(change);
        execute(
                () -> {
                    activateQuotas();
                    updateOrigins(view);
                    loads.retainTargets(view.fleet());
                    retryWaiting();
                });
    }
}
