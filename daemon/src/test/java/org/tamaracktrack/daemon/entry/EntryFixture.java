package org.tamaracktrack.daemon.entry;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.RequestClassId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.id.TemplateId;
import org.tamaracktrack.core.placement.PlacementKind;
import org.tamaracktrack.core.routing.RoutingKind;
import org.tamaracktrack.daemon.configuration.ConfigurationSource;
import org.tamaracktrack.daemon.operations.DaemonHttpServer;
import org.tamaracktrack.daemon.operations.OperationsHandler;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.daemon.runtime.DaemonRuntime;
import org.tamaracktrack.daemon.settings.Settings;
import org.tamaracktrack.link.frame.FrameTransport;
import org.tamaracktrack.link.frame.XnioFrameTransport;
import org.tamaracktrack.link.http.HttpCaller;
import org.tamaracktrack.link.http.UndertowHttpCaller;

/** An entry role with a real HTTP server, real connections and an in-memory log. */
final class EntryFixture implements AutoCloseable {
    static final String KEY = "andina-key";
    static final String OTHER_KEY = "ktima-key";
    static final ModelId MODEL = ModelId.of("approval");
    static final RequestClassId CLASS = RequestClassId.of("interactive");
    private static final String SECRET = "only-for-this-test";
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    final InMemoryLogClient log;
    final FrameTransport transport = XnioFrameTransport.of(SECRET);
    final PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    final ConfigurationSource configuration;
    final EntryRole role;
    final DaemonHttpServer front;
    private final ControlThread control = ControlThread.of("control");
    private final HttpCaller http = UndertowHttpCaller.of();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private EntryFixture(InMemoryLogClient log, String name, Configuration configuration) {
        this.log = log;
        this.configuration = new FixedConfiguration(configuration);
        DaemonRuntime runtime =
                new DaemonRuntime(
                        settings(),
                        IncarnationId.of(name),
                        control,
                        log,
                        Optional.empty(),
                        transport,
                        http,
                        metrics,
                        this.configuration);
        role = EntryRole.start(runtime, RoutingKind.ESTIMATED_WAIT, PlacementKind.LRU);
        front =
                DaemonHttpServer.start(
                        ANY_PORT,
                        20,
                        OperationsHandler.of(metrics, role::ready, role.callerHandler()));
    }

    static EntryFixture start() {
        return start(new InMemoryLogClient(), "entry-1", 5_000);
    }

    static EntryFixture start(InMemoryLogClient log, String name, long totalMillis) {
        return new EntryFixture(log, name, configuration(totalMillis));
    }

    private static Settings settings() {
        return new Settings(
                Settings.Role.ENTRY,
                HostId.of("entry-host"),
                DataCentreId.of("quito-1"),
                Optional.empty(),
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                Optional.empty(),
                List.of(),
                SECRET,
                4_000,
                100,
                1_000,
                10_000,
                20);
    }

    private record FixedConfiguration(Configuration configuration) implements ConfigurationSource {
        @Override
        public Optional<VersionedConfiguration> current() {
            return Optional.of(new VersionedConfiguration(0, "{}", configuration));
        }

        @Override
        public void addListener(Consumer<VersionedConfiguration> listener) {
            listener.accept(current().orElseThrow());
        }

        @Override
        public void offer(long version, String document) {}
    }

    static Configuration configuration(long totalMillis) {
        Configuration.RequestClass requestClass =
                new Configuration.RequestClass(CLASS, 1_000, 100, totalMillis, 1, 100);
        ServiceId charges = ServiceId.of("charges");
        return new Configuration(
                1,
                new Configuration.WeightStoreLimits(1.4, 11),
                600_000,
                Map.of(CLASS, requestClass),
                Map.of(
                        MODEL,
                        new Configuration.Model(MODEL, "1", 100),
                        ModelId.of("history"),
                        new Configuration.Model(ModelId.of("history"), "1", 100)),
                Map.of(
                        AdapterId.of("north"),
                        new Configuration.Adapter(AdapterId.of("north"), MODEL, "1", 10)),
                Map.of(charges, new Configuration.Service(charges, Set.of("GET"))),
                targets(charges),
                accounts(charges));
    }

    private static Map<TargetId, Configuration.Target> targets(ServiceId charges) {
        return Arrays.stream(new String[] {"engine-1", "engine-2", "service-1"})
                .map(name -> target(name, charges))
                .collect(Collectors.toMap(Configuration.Target::id, Function.identity()));
    }

    private static Configuration.Target target(String name, ServiceId charges) {
        boolean isEngine = name.startsWith("engine");
        return new Configuration.Target(
                TargetId.of(name),
                isEngine ? Configuration.TargetKind.ENGINE : Configuration.TargetKind.SERVICE,
                HostId.of("host-" + name),
                DataCentreId.of("quito-1"),
                "127.0.0.1:1",
                8,
                List.of(),
                true,
                isEngine ? Optional.empty() : Optional.of(charges));
    }

    private static Map<ClientAccountId, Configuration.ClientAccount> accounts(ServiceId charges) {
        return Map.of(
                ClientAccountId.of("andina"),
                account("andina", KEY, MODEL, charges, 50),
                ClientAccountId.of("ktima"),
                account("ktima", OTHER_KEY, ModelId.of("history"), charges, 0.1));
    }

    private static Configuration.ClientAccount account(
            String name, String key, ModelId model, ServiceId charges, double rate) {
        return new Configuration.ClientAccount(
                ClientAccountId.of(name),
                TemplateId.of("store"),
                List.of(Hashes.sha256(key)),
                Set.of(model),
                Set.of(AdapterId.of("north")),
                Set.of(charges),
                Set.of(CLASS),
                CLASS,
                true,
                1,
                10,
                rate,
                10);
    }

    FakeTarget target(String name) {
        return new FakeTarget(transport, name, List.of(MODEL));
    }

    /** Announces targets and waits until the entry daemon has received their load reports. */
    void addTargets(FakeTarget... targets) {
        Arrays.stream(targets).forEach(target -> target.announceOwnership(log));
        await(() -> role.requestsInProgress() == 0 && connectedTargets() >= targets.length);
    }

    private int connectedTargets() {
        return callOnControlThread(() -> role.targets().targets().size());
    }

    int callOnControlThread(java.util.function.IntSupplier supplier) {
        CompletableFuture<Integer> result = new CompletableFuture<>();
        control.post(() -> result.complete(supplier.getAsInt()));
        return result.orTimeout(10, TimeUnit.SECONDS).join();
    }

    static void await(java.util.function.BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw TamaracktrackException.of(
                        ErrorCode.INTERNAL, "condition was not met within 10 s");
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    double eventCount(String event) {
        return Optional.ofNullable(
                        metrics.find("tamaracktrack.entry.events").tag("event", event).counter())
                .map(counter -> counter.count())
                .orElse(0.0);
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + front.address().getPort() + path))
                .timeout(Duration.ofSeconds(15))
                .header("Authorization", "Bearer " + KEY);
    }

    HttpRequest.Builder completion(String fields) {
        return request("/v1/chat/completions")
                .POST(
                        HttpRequest.BodyPublishers.ofString(
                                "{\"model\":\"approval\",\"messages\":[{\"role\":\"user\","
                                        + "\"content\":\"order 12\"}]"
                                        + fields
                                        + "}"));
    }

    CompletableFuture<HttpResponse<String>> send(HttpRequest.Builder request) {
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> call(HttpRequest.Builder request) {
        return send(request).orTimeout(15, TimeUnit.SECONDS).join();
    }

    @Override
    public void close() {
        front.close();
        transport.close();
        http.close();
        control.close();
    }
}
