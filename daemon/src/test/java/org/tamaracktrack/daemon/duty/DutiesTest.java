package org.tamaracktrack.daemon.duty;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.lease.Duty;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.core.placement.PlacementKind;
import org.tamaracktrack.daemon.configuration.ConfigurationSource;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.daemon.runtime.DaemonRuntime;
import org.tamaracktrack.daemon.settings.Settings;

class DutiesTest {
    private static final TargetId TARGET = TargetId.of("runner-1");
    private static final ModelId MODEL = ModelId.of("approval");

    private final InMemoryLogClient log = new InMemoryLogClient();
    private final List<ControlThread> controls = new ArrayList<>();

    /** Provides one configuration that is in force from the start and never changes. */
    private static final class FixedConfigurationSource implements ConfigurationSource {
        @Override
        public Optional<VersionedConfiguration> current() {
            return Optional.of(new VersionedConfiguration(4, "{}", configuration()));
        }

        @Override
        public void addListener(Consumer<VersionedConfiguration> listener) {}

        @Override
        public void offer(long version, String document) {}
    }

    private static Configuration configuration() {
        return new Configuration(
                1,
                new Configuration.WeightStoreLimits(1.4, 11),
                60_000,
                Map.of(),
                Map.of(MODEL, new Configuration.Model(MODEL, "1", 100)),
                Map.of(),
                Map.of(),
                Map.of(TARGET, target()),
                Map.of());
    }

    private static Configuration.Target target() {
        return new Configuration.Target(
                TARGET,
                Configuration.TargetKind.ENGINE,
                HostId.of("host-1"),
                DataCentreId.of("quito-1"),
                "127.0.0.1:1",
                8,
                List.of(new Configuration.Accelerator(AcceleratorId.of("a0"), 1_000, 100)),
                true,
                Optional.empty());
    }

    private Duties start(String name) {
        ControlThread control = ControlThread.of(name);
        controls.add(control);
        DaemonRuntime runtime =
                new DaemonRuntime(
                        settings(),
                        IncarnationId.of(name),
                        control,
                        log,
                        Optional.empty(),
                        null,
                        null,
                        new PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
                        new FixedConfigurationSource());
        Message.Load load =
                new Message.Load(TARGET, 1, false, 0, 0, Map.of(), List.of(), List.of(), List.of());
        TargetView targets = () -> Map.of(TARGET, new TargetView.TargetObservation(load, 0, true));
        return Duties.start(runtime, targets, PlacementKind.HYSTERESIS);
    }

    private static Settings settings() {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return new Settings(
                Settings.Role.ENTRY,
                HostId.of("entry-host"),
                DataCentreId.of("quito-1"),
                Optional.empty(),
                any,
                any,
                any,
                Optional.empty(),
                List.of(),
                "only-for-this-test",
                1_000,
                0,
                100,
                1_000,
                10);
    }

    @AfterEach
    void close() {
        controls.forEach(ControlThread::close);
    }

    private LogEntry.PlanPublished awaitPlan(String holder) {
        return log.await(
                LogStream.PLAN,
                LogEntry.PlanPublished.class,
                plan -> plan.holder().equals(IncarnationId.of(holder)));
    }

    @Test
    void shouldPublishAPlacementForEveryModelWhenItHoldsTheDuty() {
        Duties duties = start("entry-1");

        LogEntry.PlanPublished plan = awaitPlan("entry-1");

        assertThat(plan.configurationVersion()).isEqualTo(4);
        assertThat(plan.placements().stream().map(LogEntry.Placement::model).toList())
                .containsExactly(MODEL);
        assertThat(duties.holds(Duty.PLANNER)).isTrue();
        duties.drain();
        assertThat(duties.holds(Duty.PLANNER)).isFalse();
    }

    // Guards against a duty that nobody performs until its lease expires, because the holder did
    // not release it when it was stopped in a planned way.
    @Test
    void shouldHandOverTheDutyAtOnceWhenTheHolderDrains() {
        Duties first = start("entry-1");
        awaitPlan("entry-1");
        Duties second = start("entry-2");

        first.drain();

        log.await(
                LogStream.PLAN,
                LogEntry.LeaseTaken.class,
                lease ->
                        lease.holder().equals(IncarnationId.of("entry-2"))
                                && lease.duty().equals("planner"));
        assertThat(log.entries(LogStream.PLAN, LogEntry.LeaseReleased.class)).hasSize(2);
        second.drain();
    }

    // Guards against losing counters that expire in the log before a snapshot contains their sums.
    @Test
    void shouldAppendAReportSnapshotAfterManyRecords() {
        Duties duties = start("entry-1");
        for (int sequence = 0; sequence < 70; sequence++) {
            log.append(
                    LogStream.REPORTS,
                    new LogEntry.CountersPublished(
                            IncarnationId.of("entry-9"),
                            "entry",
                            sequence,
                            0,
                            sequence,
                            false,
                            Map.of("requests|north|approval|interactive|in_class", 5L)));
        }

        LogEntry.ReportSnapshot snapshot =
                log.await(
                        LogStream.REPORTS,
                        LogEntry.ReportSnapshot.class,
                        record -> record.upTo() >= 70);

        assertThat(snapshot.live()).hasSize(1);
        duties.drain();
    }
}
