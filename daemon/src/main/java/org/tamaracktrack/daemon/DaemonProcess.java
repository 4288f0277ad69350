package org.tamaracktrack.daemon;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.ResponseCodeHandler;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.lease.Duty;
import org.tamaracktrack.daemon.configuration.ConfigurationMetrics;
import org.tamaracktrack.daemon.configuration.ConfigurationSnapshotter;
import org.tamaracktrack.daemon.configuration.FollowedConfiguration;
import org.tamaracktrack.daemon.configuration.PeerAsker;
import org.tamaracktrack.daemon.entry.EntryRole;
import org.tamaracktrack.daemon.operations.DaemonHttpServer;
import org.tamaracktrack.daemon.operations.OperationsHandler;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.daemon.runtime.DaemonRole;
import org.tamaracktrack.daemon.runtime.DaemonRuntime;
import org.tamaracktrack.daemon.settings.DaemonSettings;
import org.tamaracktrack.daemon.settings.IpAddresses;
import org.tamaracktrack.daemon.settings.Settings;
import org.tamaracktrack.daemon.target.TargetRole;
import org.tamaracktrack.link.frame.XnioFrameTransport;
import org.tamaracktrack.link.hosts.HttpHostListClient;
import org.tamaracktrack.link.http.HttpCaller;
import org.tamaracktrack.link.http.UndertowHttpCaller;
import org.tamaracktrack.link.log.HttpLogClient;
import org.tamaracktrack.link.log.LogClient;
import sun.misc.Signal;

/** A running daemon. Starts the components of its role and stops them on a signal. */
final class DaemonProcess {
    private static final Logger LOG = Logger.getLogger(DaemonProcess.class);
    private static final int EXIT_REQUESTS_CUT = 1;
    private static final int EXIT_FORCED_STOP = 4;

    private final DaemonRuntime runtime;
    private final DaemonRole role;
    private final DaemonHttpServer httpServer;
    private final AtomicInteger receivedSignals = new AtomicInteger();

    private DaemonProcess(DaemonRuntime runtime, DaemonRole role, DaemonHttpServer httpServer) {
        this.runtime = runtime;
        this.role = role;
        this.httpServer = httpServer;
    }

    static DaemonProcess start(DaemonSettings settings) {
        IncarnationId incarnation = incarnation(settings.settings());
        LOG.infof("event=start incarnation=%s %s", incarnation, settings.describe());
        ControlThread control = ControlThread.of("control");
        HttpCaller http = UndertowHttpCaller.of();
        LogClient log = HttpLogClient.of(http, settings.settings().logAddress());
        FollowedConfiguration configuration = FollowedConfiguration.start(log, control);
        DaemonRuntime runtime =
                runtime(settings.settings(), incarnation, control, http, log, configuration);
        ConfigurationMetrics.register(configuration, runtime.metrics());
        PeerAsker.start(configuration, runtime.transport(), control, settings.settings().peers());
        if (settings.settings().role() == Settings.Role.ENTRY) {
            EntryRole entry = EntryRole.start(runtime, settings.routing(), settings.placement());
            ConfigurationSnapshotter.start(
                    configuration, log, control, () -> entry.holds(Duty.REPORTER));
            return new DaemonProcess(
                    runtime, entry, httpServer(runtime, entry, entry.callerHandler()));
        }
        TargetRole target = TargetRole.start(runtime, settings.admission());
        return new DaemonProcess(
                runtime, target, httpServer(runtime, target, ResponseCodeHandler.HANDLE_404));
    }

    private static IncarnationId incarnation(Settings settings) {
        return IncarnationId.of(
                settings.role().name().toLowerCase(Locale.ROOT)
                        + "-"
                        + settings.host()
                        + "-"
                        + Long.toHexString(ThreadLocalRandom.current().nextLong()));
    }

    private static DaemonRuntime runtime(
            Settings settings,
            IncarnationId incarnation,
            ControlThread control,
            HttpCaller http,
            LogClient log,
            FollowedConfiguration configuration) {
        return new DaemonRuntime(
                settings,
                incarnation,
                control,
                log,
                settings.hostListAddress().map(address -> HttpHostListClient.of(http, address)),
                XnioFrameTransport.of(settings.sharedSecret()),
                http,
                new PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
                configuration);
    }

    private static DaemonHttpServer httpServer(
            DaemonRuntime runtime, DaemonRole role, HttpHandler next) {
        try {
            return DaemonHttpServer.start(
                    runtime.settings().httpAddress(),
                    runtime.settings().maximumConnections(),
                    OperationsHandler.of(runtime.metrics(), role::ready, next));
        } catch (RuntimeException failure) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS,
                    "can't listen at " + IpAddresses.format(runtime.settings().httpAddress()),
                    failure);
        }
    }

    String readyLine() {
        return "ready http="
                + IpAddresses.format(httpServer.address())
                + " peer="
                + IpAddresses.format(role.peerAddress());
    }

    void stopOnSignals() {
        Signal.handle(new Signal("TERM"), signal -> onSignal());
        Signal.handle(new Signal("INT"), signal -> onSignal());
    }

    private void onSignal() {
        if (receivedSignals.incrementAndGet() == 1) {
            new Thread(this::stop, "stop").start();
        } else {
            LOG.warnf("event=stopped-at-once cut=%d", role.requestsInProgress());
            System.err.println("stopped at once, requests cut: " + role.requestsInProgress());
            Runtime.getRuntime().halt(EXIT_FORCED_STOP);
        }
    }

    private void stop() {
        boolean nothingCut = role.drain();
        httpServer.close();
        runtime.transport().close();
        runtime.http().close();
        runtime.control().close();
        LOG.infof("event=stopped whole=%s", nothingCut);
        System.exit(nothingCut ? 0 : EXIT_REQUESTS_CUT);
    }
}
