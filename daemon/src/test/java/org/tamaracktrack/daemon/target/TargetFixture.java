package org.tamaracktrack.daemon.target;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.RequestClassId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.daemon.configuration.ConfigurationSource;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.daemon.runtime.DaemonRuntime;
import org.tamaracktrack.daemon.settings.Settings;
import org.tamaracktrack.link.frame.ConnectionHandler;
import org.tamaracktrack.link.frame.FrameTransport;

/** A running target role with fakes of the log, HTTP, transport and configuration. */
final class TargetFixture implements AutoCloseable {
    static final TargetId TARGET = TargetId.of("t1");
    static final ModelId MODEL = ModelId.of("approval");
    static final ModelId OTHER_MODEL = ModelId.of("portal");
    static final RequestClassId CLASS = RequestClassId.of("interactive");
    private static final IncarnationId ENTRY = IncarnationId.of("entry-1");
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 9);

    final FakeHttp http = new FakeHttp();
    final FakeLogClient log;
    final TargetRole role;
    final PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final ControlThread control = ControlThread.of("control");
    private final AtomicReference<ConnectionHandler> handler = new AtomicReference<>();
    private long requestNumber;

    private TargetFixture(FakeLogClient log, Configuration.TargetKind kind, int concurrency) {
        this.log = log;
        role =
                TargetRole.start(
                        new DaemonRuntime(
                                settings(),
                                IncarnationId.of("target-1"),
                                control,
                                log,
                                Optional.empty(),
                                new Transport(),
                                http,
                                metrics,
                                new FixedConfigurationSource(configuration(kind, concurrency))));
    }

    static TargetFixture engine(int concurrency) {
        return new TargetFixture(new FakeLogClient(), Configuration.TargetKind.ENGINE, concurrency);
    }

    static TargetFixture engineWithUnavailableLog() {
        FakeLogClient log = new FakeLogClient();
        log.unavailable(true);
        return new TargetFixture(log, Configuration.TargetKind.ENGINE, 1);
    }

    static TargetFixture service() {
        return new TargetFixture(new FakeLogClient(), Configuration.TargetKind.SERVICE, 1);
    }

    private final class Transport implements FrameTransport {
        @Override
        public InetSocketAddress listen(InetSocketAddress address, ConnectionHandler listener) {
            handler.set(listener);
            return ADDRESS;
        }

        @Override
        public void connect(InetSocketAddress address, ConnectionHandler listener) {}

        @Override
        public void close() {}
    }

    private record FixedConfigurationSource(Configuration configuration)
            implements ConfigurationSource {
        @Override
        public Optional<VersionedConfiguration> current() {
            return Optional.of(new VersionedConfiguration(7, "{}", configuration));
        }

        @Override
        public void addListener(Consumer<VersionedConfiguration> listener) {
            listener.accept(current().orElseThrow());
        }

        @Override
        public void offer(long version, String document) {}
    }

    private static Settings settings() {
        return new Settings(
                Settings.Role.TARGET,
                HostId.of("host-1"),
                DataCentreId.of("quito-1"),
                Optional.of(TARGET),
                ADDRESS,
                ADDRESS,
                ADDRESS,
                Optional.empty(),
                List.of(),
                "only-for-this-test",
                2_000,
                100,
                1_000,
                10_000,
                20);
    }

    private static Configuration configuration(Configuration.TargetKind kind, int concurrency) {
        ServiceId service = ServiceId.of("charges");
        Configuration.Target target =
                new Configuration.Target(
                        TARGET,
                        kind,
                        HostId.of("host-1"),
                        DataCentreId.of("quito-1"),
                        "127.0.0.1:9",
                        concurrency,
                        List.of(new Configuration.Accelerator(AcceleratorId.of("a0"), 1_000, 100)),
                        false,
                        kind == Configuration.TargetKind.SERVICE
                                ? Optional.of(service)
                                : Optional.empty());
        return new Configuration(
                1,
                new Configuration.WeightStoreLimits(10, 11),
                600_000,
                Map.of(CLASS, new Configuration.RequestClass(CLASS, 5_000, 100, 9_000, 3, 100)),
                Map.of(
                        MODEL, new Configuration.Model(MODEL, "1", 500),
                        OTHER_MODEL, new Configuration.Model(OTHER_MODEL, "1", 600)),
                Map.of(),
                Map.of(service, new Configuration.Service(service, Set.of("GET"))),
                Map.of(TARGET, target),
                Map.of());
    }

    FakeConnection connect() {
        FakeConnection connection = new FakeConnection();
        handler.get().onOpen(connection);
        return connection;
    }

    void disconnect(FakeConnection connection) {
        connection.close();
        handler.get().onClosed(connection);
    }

    void deliver(FakeConnection connection, Message message) {
        handler.get().onMessage(connection, message);
    }

    Message.Submit submit(FakeConnection connection, ModelId model) {
        return submit(connection, model, true, 5_000, 1_000_000);
    }

    Message.Submit submit(
            FakeConnection connection,
            ModelId model,
            boolean idempotent,
            long waitLimitMillis,
            int credit) {
        Message.Submit submit =
                new Message.Submit(
                        AttemptId.of(ENTRY, requestNumber++, 0),
                        ClientAccountId.of("cevallos"),
                        CLASS,
                        Message.CallKind.MODEL,
                        Optional.of(model),
                        Optional.empty(),
                        idempotent,
                        100,
                        waitLimitMillis,
                        9_000,
                        "POST",
                        "/v1/chat/completions",
                        Map.of("content-type", "application/json"),
                        "{}".getBytes(StandardCharsets.UTF_8),
                        true,
                        credit);
        deliver(connection, submit);
        return submit;
    }

    Message.Submit submitToService(FakeConnection connection) {
        Message.Submit submit =
                new Message.Submit(
                        AttemptId.of(ENTRY, requestNumber++, 0),
                        ClientAccountId.of("cevallos"),
                        CLASS,
                        Message.CallKind.SERVICE,
                        Optional.empty(),
                        Optional.empty(),
                        false,
                        1,
                        5_000,
                        9_000,
                        "PUT",
                        "/charges/7?dry=1",
                        Map.of("idempotency-key", "k1"),
                        "{}".getBytes(StandardCharsets.UTF_8),
                        false,
                        1_000_000);
        deliver(connection, submit);
        return submit;
    }

    @Override
    public void close() {
        role.drain();
    }
}
