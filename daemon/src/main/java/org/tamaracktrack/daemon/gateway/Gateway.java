package org.tamaracktrack.daemon.gateway;

import io.micrometer.core.instrument.MeterRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.tamaracktrack.core.copies.DemandTracker;
import org.tamaracktrack.core.dispatch.FleetRetryBudget;
import org.tamaracktrack.core.dispatch.Peer;
import org.tamaracktrack.core.dispatch.TargetSelector;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.SoftwareVersion;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.knowledge.StalenessBound;
import org.tamaracktrack.core.quarantine.Quarantine;
import org.tamaracktrack.core.route.ServingConfiguration;
import org.tamaracktrack.core.stream.OriginMember;
import org.tamaracktrack.core.stream.OriginMessage;
import org.tamaracktrack.daemon.connection.CallersListener;
import org.tamaracktrack.daemon.load.Datagrams;
import org.tamaracktrack.daemon.load.LoadExchange;
import org.tamaracktrack.daemon.load.UsageExchange;
import org.tamaracktrack.daemon.quota.QuotaExchange;
import org.tamaracktrack.daemon.stream.OriginExchange;
import org.tamaracktrack.link.http.HttpCaller;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** The HTTP server for callers, with the readiness check for the load balancer. */
public final class Gateway implements AutoCloseable {
    private static final int REQUEST_HEAD_TIMEOUT_MILLIS = 10_000;

    /**
     * Longer than callers keep an idle connection, so that callers close it and not this server.
     */
    private static final int IDLE_CONNECTION_TIMEOUT_MILLIS = 60_000;

    private static final int MAX_HEADER_BYTES = 32_768;
    private static final int BACKLOG = 1_024;

    private static final OptionMap HTTP_OPTIONS =
            OptionMap.builder()
                    .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                    .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_HEAD_TIMEOUT_MILLIS)
                    .set(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_CONNECTION_TIMEOUT_MILLIS)
                    .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                    .set(UndertowOptions.DECODE_URL, false)
                    .set(UndertowOptions.ALLOW_ENCODED_SLASH, true)
                    .set(UndertowOptions.ALWAYS_SET_DATE, false)
                    .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                    .set(Options.TCP_NODELAY, true)
                    .set(Options.BACKLOG, BACKLOG)
                    .getMap();

    private final GatewayContext context;
    private final GatewayHandler handler;
    private final CallersListener callers;
    private final Undertow server;
    private final XnioIoThread thread;

    private Gateway(
            GatewayContext context,
            GatewayHandler handler,
            CallersListener callers,
            Undertow server,
            XnioIoThread thread) {
        this.context = context;
        this.handler = handler;
        this.callers = callers;
        this.server = server;
        this.thread = thread;
    }

    /**
     * Where and how a gateway serves.
     *
     * @param callersAddress the address that callers connect to
     * @param readinessAddress the address of the readiness check
     * @param readinessPath the path of the readiness check
     * @param dataCentre the data centre of the daemon
     * @param retryBudget limits the retries of all gateways together
     */
    public record ServerOptions(
            InetSocketAddress callersAddress,
            InetSocketAddress readinessAddress,
            String readinessPath,
            DataCentreId dataCentre,
            FleetRetryBudget retryBudget) {}

    /**
     * Starts a gateway. It becomes ready once it has a configuration and the fleet.
     *
     * @param options where and how it serves
     * @param worker its threads; requests use the only input/output thread
     * @param buffers its buffers
     * @param http calls targets, on the same thread
     * @param protocol reads and writes headers
     * @param metrics registers the metrics
     * @param random the source of randomness for target selection and retry delays
     * @return the gateway
     */
    public static Gateway start(
            ServerOptions options,
            XnioWorker worker,
            ByteBufferPool buffers,
            HttpCaller http,
            HeaderProtocol protocol,
            MeterRegistry metrics,
            RandomGenerator random) {
        Objects.requireNonNull(options, "place is null");
        PlannedStop stop = new PlannedStop();
        XnioIoThread thread = worker.getIoThread();
        GatewayContext context =
                new GatewayContext(
                        http,
                        thread,
                        protocol,
                        TargetSelector.of(options.dataCentre()),
                        options.retryBudget(),
                        GatewayMetrics.of(metrics),
                        stop,
                        random);
        GatewayHandler handler = GatewayHandler.of(context);
        HttpHandler root = root(options.readinessPath(), context, handler);
        CrowdingMonitor crowding = new CrowdingMonitor(context);
        TrafficDelayMonitor.start(context, crowding::recordTick);
        CallersListener callers =
                CallersListener.start(
                        options.callersAddress(),
                        worker,
                        buffers,
                        HTTP_OPTIONS,
                        root,
                        crowding::shedsConnection);
        Undertow server =
                Undertow.builder()
                        .setWorker(worker)
                        .setByteBufferPool(buffers)
                        .addHttpListener(
                                port(options.readinessAddress()), ip(options.readinessAddress()))
                        .setSocketOption(Options.TCP_NODELAY, true)
                        .setHandler(root)
                        .build();
        listen(server, options);
        context.limitConnections();
        context.monitorUsage();
        return new Gateway(context, handler, callers, server, thread);
    }

    private static void listen(Undertow server, ServerOptions options) {
        try {
            server.start();
        } catch (RuntimeException failure) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS,
                    "can't listen at " + options.readinessAddress(),
                    failure);
        }
    }

    private static int port(InetSocketAddress address) {
        return address.getPort();
    }

    private static String ip(InetSocketAddress address) {
        return address.getAddress().getHostAddress();
    }

    private static HttpHandler root(
            String readinessPath, GatewayContext context, HttpHandler next) {
        return exchange -> {
            if (exchange.getRequestURI().equals(readinessPath)) {
                readiness(exchange, ready(context));
            } else {
                next.handleRequest(exchange);
            }
        };
    }

    private static boolean ready(GatewayContext context) {
        GatewayView view = context.view();
        return !context.leaving()
                && view.configuration().isPresent()
                && view.fleetKnown()
                && !context.gate().refusesRequests();
    }

    private static void readiness(HttpServerExchange exchange, boolean ready) {
        exchange.setStatusCode(ready ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, "0");
        exchange.endExchange();
    }

    /**
     * Returns the address that callers connect to.
     *
     * @return IP number and port
     */
    public InetSocketAddress callersAddress() {
        return callers.address();
    }

    /**
     * Returns the address of the readiness check.
     *
     * @return IP number and port
     */
    public InetSocketAddress readinessAddress() {
        return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    }

    /**
     * Puts a configuration in force for requests that arrive from now on.
     *
     * @param configuration the configuration
     */
    public void configure(ServingConfiguration configuration) {
        context.update(view -> view.with(configuration));
    }

    /**
     * Replaces the known targets.
     *
     * @param fleet the targets
     */
    public void updateFleet(FleetSnapshot fleet) {
        context.update(view -> view.with(fleet));
    }

    /**
     * Returns the version of the configuration in force.
     *
     * @return the version; empty before the first
     */
    public OptionalLong configurationVersion() {
        return context.view().configuration().stream()
                .mapToLong(ServingConfiguration::version)
                .findFirst();
    }

    /**
     * Returns the targets that requests may be sent to now.
     *
     * @return the targets
     */
    public FleetSnapshot targets() {
        return context.view().fleet();
    }

    /**
     * Returns the demand for models since the previous call, and the requests that wait for a
     * target.
     *
     * @return the demand, completed on the traffic thread
     */
    public CompletableFuture<DemandTracker.DemandCounts> takeDemand() {
        CompletableFuture<DemandTracker.DemandCounts> reading = new CompletableFuture<>();
        thread.execute(
                () -> reading.complete(context.demand().takeCounts(context.waiting().byNeed())));
        return reading;
    }

    /**
     * Returns by which factor work takes longer than usual at each target that reports it to this
     * daemon.
     *
     * @return the long-run mean of the factors, completed on the traffic thread
     */
    public CompletableFuture<Map<TargetIncarnation, Double>> workFactors() {
        CompletableFuture<Map<TargetIncarnation, Double>> reading = new CompletableFuture<>();
        thread.execute(() -> reading.complete(context.loads().workFactors()));
        return reading;
    }

    /**
     * Starts to exchange with other daemons the load that each has placed on targets.
     *
     * @param process identifies this run of the process
     * @param datagrams carries the messages, on the traffic thread
     * @return receives the addresses of the other daemons whenever they change
     */
    public Consumer<List<InetSocketAddress>> exchangeLoads(String process, Datagrams datagrams) {
        LoadExchange exchange = LoadExchange.of(process, datagrams, context, context.loads());
        thread.execute(() -> context.exchangesLoads(exchange));
        return addresses -> thread.execute(() -> exchange.updatePeers(addresses));
    }

    /**
     * Starts to exchange with other daemons what each client account uses.
     *
     * @param process identifies this run of the process
     * @param datagrams carries the messages, on the traffic thread
     * @return receives the addresses of the other daemons whenever they change
     */
    public Consumer<List<InetSocketAddress>> exchangeUsage(String process, Datagrams datagrams) {
        UsageExchange exchange = context.startUsageExchange(process, datagrams);
        return addresses -> thread.execute(() -> exchange.updatePeers(addresses));
    }

    /**
     * Starts to enforce the quotas of client accounts together with other daemons.
     *
     * @param self this daemon
     * @param tolerance units of each quota that may be used in addition to its burst
     * @param datagrams carries the messages, on the traffic thread
     */
    public void enforceQuotas(Peer self, double tolerance, Datagrams datagrams) {
        thread.execute(
                () ->
                        context.quotas(
                                QuotaExchange.start(
                                        self,
                                        tolerance,
                                        context.firstMessageNumber(),
                                        datagrams,
                                        context,
                                        GatewayContext::dayMillis,
                                        context.socketDelay())));
    }

    /**
     * Starts to remember, together with other daemons, at which software version streams began.
     *
     * @param self the address of this daemon
     * @param datagrams carries the messages, on the traffic thread
     * @param archive keeps origins for the case that all daemons end; called on the traffic thread
     */
    public void exchangeOrigins(String self, Datagrams datagrams, OriginMember.Archive archive) {
        thread.execute(
                () ->
                        context.origins(
                                OriginExchange.start(
                                        self,
                                        context.firstMessageNumber(),
                                        datagrams,
                                        archive,
                                        context)));
    }

    /**
     * Applies origins of streams that daemons kept before they ended. Safe for use by any thread.
     *
     * @param streams the streams
     */
    public void recordArchivedOrigins(Collection<OriginMessage.Begun> streams) {
        context.recordArchivedOrigins(streams);
    }

    /**
     * Applies the software versions that served before the start of this daemon. Safe for use by
     * any thread.
     *
     * @param versions the versions by service
     */
    public void recordEarlierVersions(Map<ServiceId, Set<SoftwareVersion>> versions) {
        context.recordEarlierVersions(versions);
    }

    /**
     * Returns the recent software versions of each service. Safe for use by any thread.
     *
     * @return the versions by service
     */
    public Map<ServiceId, Set<SoftwareVersion>> recentVersions() {
        return context.recentVersions();
    }

    /** Enforces quotas without other daemons. */
    public void enforceQuotasAlone() {
        thread.execute(context::enforceQuotasAlone);
    }

    /**
     * Applies a list of daemons that includes this one. All of them share the quotas and the slack
     * of the retry budget.
     *
     * @param daemons the daemons
     * @param atMillis when the list was true, by the monotonic clock
     */
    public void updateDaemons(Set<Peer> daemons, long atMillis) {
        context.updateDaemons(daemons, atMillis);
    }

    /**
     * Returns the number of daemons on the last list. Safe for use by any thread.
     *
     * @return the number, including this daemon; 0 before the first list
     */
    public int daemonCount() {
        return context.daemonCount();
    }

    /**
     * Returns the targets that closed a connection with a response since the previous call. Targets
     * that leave close their connections, others do so occasionally.
     *
     * @return the targets
     */
    public Set<TargetId> takeClosingTargets() {
        return context.takeClosingTargets();
    }

    /**
     * Returns whether a target has asked this daemon for a rest that has not ended. Safe for use by
     * any thread.
     *
     * @param target the target
     * @return whether it wants no request
     */
    public boolean isResting(TargetEntry target) {
        return context.restingTargets().isResting(target);
    }

    /**
     * Sets the listener for targets that have stated in an answer that they leave. Such a target
     * receives no further request from this daemon.
     *
     * @param listener called once for each incarnation, on any thread
     */
    public void onTargetLeaving(Consumer<TargetIncarnation> listener) {
        context.leavingListener(listener);
    }

    /**
     * Records that a target has stated, in an answer to this daemon itself, that it leaves. Safe
     * for use by any thread.
     *
     * @param incarnation the incarnation that answered
     */
    public void recordLeaving(TargetIncarnation incarnation) {
        context.recordLeaving(incarnation);
    }

    /**
     * Sets the source of the age of the registry's information, which is logged with each request.
     *
     * @param ageMillis returns the age in milliseconds; called on the traffic thread
     */
    public void useRegistryAge(LongSupplier ageMillis) {
        context.registryAge(ageMillis);
    }

    /**
     * Watches the age of information that decides about requests. While it is stale, requests wait
     * briefly for a fresh read and are then refused as not run.
     *
     * @param name identifies the information in the log
     * @param bound how old the information may be
     * @param source reports how old it is
     */
    public void watch(String name, StalenessBound bound, FreshnessSource source) {
        context.gate().watch(name, bound, source);
    }

    /**
     * Sets how recent the configuration must be for keys of client accounts to be accepted.
     *
     * @param keyFreshness the requirement
     */
    public void requireKeyFreshness(KeyFreshness keyFreshness) {
        context.keyFreshness(keyFreshness);
    }

    /**
     * Connects to some targets to find out whether this host's link is saturated.
     *
     * @return true when one of them answers in time, or when no target is known
     */
    public CompletableFuture<Boolean> reachesTargets() {
        return context.linkCheck().reachesTargets();
    }

    /**
     * Sets the listener for targets that ended and the requests that they had.
     *
     * @param listener called on the traffic thread
     */
    public void onTargetsEnded(TargetEndListener listener) {
        thread.execute(() -> context.targetEndDetector().setListener(listener));
    }

    /**
     * Sets what permits requests with held suspects.
     *
     * @param authority the authority
     */
    public void trialAuthority(TrialAuthority authority) {
        context.trialAuthority(authority);
    }

    /**
     * Replaces the record of the requests under which targets have ended.
     *
     * @param quarantine the requests, and which of them are sent to no target
     */
    public void updateQuarantine(Quarantine quarantine) {
        context.quarantine(quarantine);
    }

    /**
     * Begins a planned stop: the readiness check fails, and connections close with their next
     * response. A stop that has begun goes on.
     *
     * @param graceMillis how long the stop may take
     */
    public void leave(long graceMillis) {
        context.stop().begin(graceMillis);
        thread.execute(context.waiting()::refuseAll);
        thread.execute(context.admission()::refuseAll);
    }

    /**
     * Turns admission control on for all services, or only for those whose targets report how long
     * work takes.
     *
     * @param always whether it is on for all services
     */
    public void controlAdmission(boolean always) {
        thread.execute(() -> context.controlAdmission(always));
    }

    /**
     * Replaces the limit on the retries of all gateways together.
     *
     * @param retryBudget the limit
     */
    public void updateRetryBudget(FleetRetryBudget retryBudget) {
        thread.execute(() -> context.updateRetryBudget(retryBudget));
    }

    /** Answers the requests that have no part of an answer, if the grace period is about to end. */
    void endRequestsIfDue() {
        if (context.stop().endsRequests()) {
            thread.execute(handler::endAll);
        }
    }

    /**
     * Returns how many requests are in progress.
     *
     * @return the number
     */
    public int inProgress() {
        return handler.inProgress();
    }

    @Override
    public void close() {
        callers.close();
        server.stop();
    }
}
