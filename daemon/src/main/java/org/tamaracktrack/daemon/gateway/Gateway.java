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
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.tamaracktrack.core.copies.DemandTracker;
import org.tamaracktrack.core.dispatch.FleetRetryBudget;
import org.tamaracktrack.core.dispatch.TargetSelector;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.knowledge.StalenessBound;
import org.tamaracktrack.core.quarantine.Quarantine;
import org.tamaracktrack.core.route.ServingConfiguration;
import org.tamaracktrack.daemon.load.Datagrams;
import org.tamaracktrack.daemon.load.LoadExchange;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.http.HttpCaller;
import org.xnio.Options;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** The server that callers reach, with the readiness that a balancer asks for. */
public final class Gateway implements AutoCloseable {
    private static final int REQUEST_HEAD_MILLIS = 10_000;

    /** Longer than callers keep a connection idle, so that it is they who close it. */
    private static final int IDLE_CONNECTION_MILLIS = 60_000;

    private static final int MAXIMUM_HEADER_BYTES = 32_768;
    private static final int BACKLOG = 1_024;

    /** New requests are taken this long into a planned stop: the balancer's two misses. */
    private static final long TAKES_NEW_MILLIS = 2_500;

    private final GatewayServices services;
    private final GatewayHandler handler;
    private final Undertow server;
    private final XnioIoThread thread;
    private final Leaving leaving;

    private Gateway(
            GatewayServices services,
            GatewayHandler handler,
            Undertow server,
            XnioIoThread thread,
            Leaving leaving) {
        this.services = services;
        this.handler = handler;
        this.server = server;
        this.thread = thread;
        this.leaving = leaving;
    }

    /** Whether the daemon is about to stop. */
    private static final class Leaving implements BooleanSupplier {
        private volatile long sinceMillis = Long.MAX_VALUE;

        @Override
        public boolean getAsBoolean() {
            return sinceMillis != Long.MAX_VALUE;
        }
    }

    /**
     * Where and how a gateway serves.
     *
     * @param callers the address that callers reach
     * @param readiness the address of the readiness check
     * @param readinessPath its path
     * @param dataCentre where the daemon stands
     * @param retryBudget bounds the repeats of all gateways together
     */
    public record Place(
            InetSocketAddress callers,
            InetSocketAddress readiness,
            String readinessPath,
            DataCentreId dataCentre,
            FleetRetryBudget retryBudget) {}

    /**
     * Starts a gateway. It is ready once it has a configuration and the fleet.
     *
     * @param place where and how
     * @param worker its threads; requests use the only input/output thread
     * @param buffers its buffers
     * @param http calls targets, on the same thread
     * @param dialect how headers are written
     * @param metrics the meters
     * @param random spreads choices
     * @return the gateway
     */
    public static Gateway start(
            Place place,
            XnioWorker worker,
            ByteBufferPool buffers,
            HttpCaller http,
            CallerDialect dialect,
            MeterRegistry metrics,
            RandomGenerator random) {
        Objects.requireNonNull(place, "place is null");
        Leaving leaving = new Leaving();
        XnioIoThread thread = worker.getIoThread();
        GatewayServices services =
                new GatewayServices(
                        http,
                        thread,
                        dialect,
                        TargetSelector.of(place.dataCentre()),
                        place.retryBudget(),
                        GatewayMetrics.of(metrics),
                        leaving,
                        random);
        GatewayHandler handler = GatewayHandler.of(services, () -> closing(leaving));
        Undertow server =
                Undertow.builder()
                        .setWorker(worker)
                        .setByteBufferPool(buffers)
                        .addHttpListener(port(place.callers()), ip(place.callers()))
                        .addHttpListener(port(place.readiness()), ip(place.readiness()))
                        .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_HEAD_MILLIS)
                        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_CONNECTION_MILLIS)
                        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAXIMUM_HEADER_BYTES)
                        .setServerOption(UndertowOptions.DECODE_URL, false)
                        .setServerOption(UndertowOptions.ALLOW_ENCODED_SLASH, true)
                        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                        .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                        .setSocketOption(Options.TCP_NODELAY, true)
                        .setSocketOption(Options.BACKLOG, BACKLOG)
                        .setHandler(root(place.readinessPath(), services, leaving, handler))
                        .build();
        listen(server, place);
        return new Gateway(services, handler, server, thread, leaving);
    }

    private static void listen(Undertow server, Place place) {
        try {
            server.start();
        } catch (RuntimeException failure) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS,
                    "can't listen at " + place.callers() + " and " + place.readiness(),
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
            String readinessPath, GatewayServices services, Leaving leaving, HttpHandler next) {
        return exchange -> {
            if (exchange.getRequestURI().equals(readinessPath)) {
                readiness(exchange, ready(services, leaving));
            } else {
                next.handleRequest(exchange);
            }
        };
    }

    private static boolean ready(GatewayServices services, Leaving leaving) {
        GatewayView view = services.view();
        return !leaving.getAsBoolean()
                && view.configuration().isPresent()
                && view.fleetKnown()
                && !services.gate().refuses();
    }

    // A request taken late in a planned stop would still run when the process has to end, and be
    // cut. The balancer sends nothing new by then; who keeps a connection is told to come back,
    // which it does elsewhere.
    private static boolean closing(Leaving leaving) {
        return leaving.getAsBoolean()
                && ControlThread.nowMillis() - leaving.sinceMillis >= TAKES_NEW_MILLIS;
    }

    private static void readiness(HttpServerExchange exchange, boolean ready) {
        exchange.setStatusCode(ready ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, "0");
        exchange.endExchange();
    }

    /**
     * Returns where callers reach the gateway.
     *
     * @return IP number and port
     */
    public InetSocketAddress callersAddress() {
        return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    }

    /**
     * Returns where the readiness check is answered.
     *
     * @return IP number and port
     */
    public InetSocketAddress readinessAddress() {
        return (InetSocketAddress) server.getListenerInfo().get(1).getAddress();
    }

    /**
     * Puts a configuration in force for requests that arrive from now on.
     *
     * @param configuration the configuration
     */
    public void configure(ServingConfiguration configuration) {
        services.update(services.view().with(configuration));
    }

    /**
     * Takes the targets that are known now.
     *
     * @param fleet the targets
     */
    public void fleet(FleetSnapshot fleet) {
        services.update(services.view().with(fleet));
    }

    /**
     * Returns the version of the configuration in force.
     *
     * @return the version; empty before the first
     */
    public OptionalLong version() {
        return services.view().configuration().stream()
                .mapToLong(ServingConfiguration::version)
                .findFirst();
    }

    /**
     * Returns the targets that requests may be sent to now.
     *
     * @return the targets
     */
    public FleetSnapshot targets() {
        return services.view().fleet();
    }

    /**
     * Returns what requests asked of models since the last reading, and what waits.
     *
     * @return the demand, completed on the traffic thread
     */
    public CompletableFuture<DemandTracker.DemandCounts> demand() {
        CompletableFuture<DemandTracker.DemandCounts> reading = new CompletableFuture<>();
        thread.execute(() -> reading.complete(services.demand().take(services.waiting().byNeed())));
        return reading;
    }

    /**
     * Begins to tell other daemons what this one has at targets, and to hear the same of them.
     *
     * @param process names this run of the process
     * @param datagrams carries the messages, on the traffic thread
     * @return takes where the other daemons are reached, whenever that changes
     */
    public Consumer<List<InetSocketAddress>> exchangeLoads(String process, Datagrams datagrams) {
        LoadExchange exchange =
                LoadExchange.of(
                        process,
                        datagrams,
                        services,
                        services.loads()::own,
                        (target, share) ->
                                services.loads()
                                        .of(target)
                                        .recordPeerShare(share, services.nowMillis()));
        thread.execute(() -> services.onLoadsChanged(exchange::onLoadChanged));
        return addresses -> thread.execute(() -> exchange.updatePeers(addresses));
    }

    /**
     * Takes the targets whose answers closed a connection since this was last asked. Targets that
     * leave close theirs, others now and then.
     *
     * @return the targets
     */
    public Set<TargetId> takeClosing() {
        return services.takeClosing();
    }

    /**
     * Says who knows how old the knowledge of the registry is, for the lines about requests.
     *
     * @param ageMillis asked on the traffic thread
     */
    public void registryAge(LongSupplier ageMillis) {
        services.registryAge(ageMillis);
    }

    /**
     * Watches how old a part of what decides about requests is. While it is too old they wait for a
     * fresh read for a moment, and are then refused as not run.
     *
     * @param name names it in the log
     * @param bound how old it may be
     * @param source knows how old it is
     */
    public void watch(String name, StalenessBound bound, KnowledgeSource source) {
        services.gate().watch(name, bound, source);
    }

    /**
     * Tries to reach some targets, to see whether this host's link is full.
     *
     * @return whether one of them answered in time; true when none is known
     */
    public CompletableFuture<Boolean> reachesTargets() {
        return services.linkCheck().reachesTargets();
    }

    /**
     * Names who hears of targets that ended, and of what they had.
     *
     * @param listener hears of them, on the traffic thread
     */
    public void onTargetsEnded(EndsListener listener) {
        thread.execute(() -> services.endedTargets().listener(listener));
    }

    /**
     * Takes the requests that targets have ended under.
     *
     * @param quarantine the requests, and which of them are sent to no target
     */
    public void quarantine(Quarantine quarantine) {
        services.quarantine(quarantine);
    }

    /** Begins a planned stop: not ready any more, and connections end with their next answer. */
    public void leave() {
        leaving.sinceMillis = ControlThread.nowMillis();
        thread.execute(services.waiting()::refuse);
    }

    /**
     * Takes another bound of the repeats of all gateways together in.
     *
     * @param retryBudget the bound
     */
    public void limit(FleetRetryBudget retryBudget) {
        thread.execute(() -> services.limit(retryBudget));
    }

    /**
     * This daemon was on a list of all daemons, which share the slack of the retry budget.
     *
     * @param daemons how many were on it
     * @param atMillis when the list was true, by the monotonic clock
     */
    public void listed(int daemons, long atMillis) {
        services.listed(daemons, atMillis);
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
        server.stop();
    }
}
