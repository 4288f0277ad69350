package org.tamaracktrack.daemon.target;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.admission.AdmissionKind;
import org.tamaracktrack.core.admission.AdmissionLimits;
import org.tamaracktrack.core.admission.AdmissionMessage;
import org.tamaracktrack.core.admission.Need;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.core.placement.PlanRegister;
import org.tamaracktrack.daemon.configuration.ConfigurationMessageHandler;
import org.tamaracktrack.daemon.configuration.ConfigurationSource;
import org.tamaracktrack.daemon.counters.CounterPublisher;
import org.tamaracktrack.daemon.counters.Counters;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.daemon.runtime.DaemonRole;
import org.tamaracktrack.daemon.runtime.DaemonRuntime;
import org.tamaracktrack.daemon.runtime.LogFollower;

/** The target role, running. */
public final class TargetRole implements DaemonRole {
    private static final Logger LOG = Logger.getLogger(TargetRole.class);
    private static final long TICK_MILLIS = 50;
    private static final long LAST_RECORD_MILLIS = 2_000;
    private static final AdmissionLimits NO_LIMITS = new AdmissionLimits(0, Map.of(), Map.of());

    private final long startedAtMillis = System.currentTimeMillis();
    private final DaemonRuntime runtime;
    private final TargetId target;
    private final TargetMeters meters;
    private final Dispatcher dispatcher;
    private final Submissions submissions;
    private final PeerHandler peers;
    private final OwnershipLog ownershipLog;
    private final EngineClient engine;
    private final Counters counters = Counters.empty();
    private final CounterPublisher publisher;
    private final PlanRegister plans = PlanRegister.empty();
    private final Departure departure = Departure.none();
    private final CountDownLatch drained = new CountDownLatch(1);
    private InetSocketAddress address;
    private Optional<OwnershipKeeper> ownership = Optional.empty();
    private Optional<EngineKeeper> keeper = Optional.empty();
    private Optional<Configuration.Target> configured = Optional.empty();
    private boolean ownsPlainService;
    private long loadSequence;
    private volatile boolean ready;
    private volatile boolean stopping;

    private TargetRole(DaemonRuntime runtime, TargetId target, AdmissionKind admission) {
        this.runtime = runtime;
        this.target = target;
        this.meters = TargetMeters.of(runtime.metrics());
        this.dispatcher = Dispatcher.of(runtime.http());
        this.submissions =
                Submissions.of(
                        runtime.control(),
                        admission.policy(NO_LIMITS),
                        dispatcher,
                        this::load,
                        meters);
        this.peers =
                PeerHandler.of(
                        runtime.control(),
                        submissions,
                        ConfigurationMessageHandler.of(runtime.configuration()),
                        this::hello,
                        this::load);
        this.ownershipLog = OwnershipLog.of(runtime.log());
        this.engine = EngineClient.of(runtime.http());
        this.publisher =
                CounterPublisher.start(
                        runtime.log(),
                        runtime.incarnation(),
                        target.value(),
                        runtime.settings().reportMillis(),
                        counters);
    }

    /**
     * Starts the role with fair admission.
     *
     * @param runtime the parts it is built from
     * @return the running role
     * @throws TamaracktrackException with {@code INVALID_SETTINGS} when the settings name no target
     */
    public static TargetRole start(DaemonRuntime runtime) {
        return start(runtime, AdmissionKind.FAIR);
    }

    /**
     * Starts the role.
     *
     * @param runtime the parts it is built from
     * @param admission the admission policy
     * @return the running role
     * @throws TamaracktrackException with {@code INVALID_SETTINGS} when the settings name no target
     */
    public static TargetRole start(DaemonRuntime runtime, AdmissionKind admission) {
        Objects.requireNonNull(runtime, "runtime is null");
        Objects.requireNonNull(admission, "admission is null");
        TargetId target =
                runtime.settings()
                        .target()
                        .orElseThrow(
                                () ->
                                        TamaracktrackException.of(
                                                ErrorCode.INVALID_SETTINGS,
                                                "a target daemon needs a target"));
        TargetRole role = new TargetRole(runtime, target, admission);
        role.begin();
        return role;
    }

    private void begin() {
        address = runtime.transport().listen(runtime.settings().peerAddress(), peers);
        OwnershipKeeper taking =
                OwnershipKeeper.of(
                        new LogEntry.OwnershipTaken(
                                target,
                                runtime.incarnation(),
                                runtime.settings().host(),
                                runtime.settings().dataCentre(),
                                address.getAddress().getHostAddress() + ":" + address.getPort(),
                                startedAtMillis),
                        ownershipLog,
                        this::isOwner);
        ownership = Optional.of(taking);
        runtime.hosts()
                .ifPresent(
                        hosts ->
                                LeavingWatch.start(
                                        hosts,
                                        runtime.settings().host(),
                                        leaving ->
                                                runtime.control()
                                                        .post(
                                                                () ->
                                                                        leave(
                                                                                Departure.Reason
                                                                                        .HOST_LIST,
                                                                                leaving))));
        meters.gauge("running", () -> submissions.admission().running());
        meters.gauge("waiting", () -> submissions.admission().queued());
        runtime.configuration().addListener(this::configure);
        runtime.control().every(TICK_MILLIS, this::tick);
    }

    private void tick() {
        submissions.tick();
        ownership.filter(taking -> configured.isPresent()).ifPresent(OwnershipKeeper::tick);
        if (stopping && submissions.size() == 0) {
            drained.countDown();
        }
    }

    private boolean isOwner() {
        return keeper.map(EngineKeeper::isOwner).orElse(ownsPlainService);
    }

    private void configure(ConfigurationSource.VersionedConfiguration inForce) {
        Configuration configuration = inForce.configuration();
        Optional<Configuration.Target> now =
                Optional.ofNullable(configuration.targets().get(target));
        if (now.isEmpty()) {
            LOG.warnf(
                    "event=target-not-configured target=%s version=%d", target, inForce.version());
            return;
        }
        boolean first = configured.isEmpty();
        configured = now;
        dispatcher.configure(configuration, now.get());
        submissions.handle(
                new AdmissionMessage.LimitsChanged(
                        AdmissionLimits.of(configuration, now.get().concurrency())));
        if (first) {
            startWork(configuration, now.get());
        } else {
            keeper.ifPresent(each -> each.configure(configuration, now.get()));
        }
    }

    private void startWork(Configuration configuration, Configuration.Target now) {
        if (now.kind() == Configuration.TargetKind.ENGINE) {
            EngineKeeper started =
                    EngineKeeper.start(
                            configuration,
                            now,
                            runtime.incarnation(),
                            startedAtMillis,
                            runtime.control(),
                            engine,
                            ownershipLog,
                            submissions,
                            counters,
                            meters);
            started.onReadyChanged(() -> peers.sendToAll(new Message.LoadReport(load())));
            started.onDeposed(this::deposed);
            keeper = Optional.of(started);
            LogFollower.start(runtime.log(), LogStream.PLAN, runtime.control(), new PlanListener());
        }
        LogFollower.start(
                runtime.log(), LogStream.OWNERSHIP, runtime.control(), new OwnershipListener());
        submissions.accept();
        ready = !stopping;
        LOG.infof("event=target-serving target=%s address=%s", target, address);
    }

    private void deposed() {
        ownership.ifPresent(OwnershipKeeper::deposed);
        leave(Departure.Reason.DEPOSED, true);
    }

    private void leave(Departure.Reason reason, boolean leaving) {
        if (!departure.note(reason, leaving)) {
            return;
        }
        submissions.leave(departure.isLeaving());
        LOG.infof(
                "event=leaving target=%s leaving=%s reason=%s",
                target, departure.isLeaving(), reason);
        ready = configured.isPresent() && !departure.isLeaving();
        peers.sendToAll(
                departure.isLeaving()
                        ? new Message.Leaving(target)
                        : new Message.LoadReport(load()));
    }

    private Message.Hello hello() {
        return new Message.Hello(
                runtime.incarnation(),
                "target",
                Optional.of(target),
                runtime.configuration().version());
    }

    private Message.Load load() {
        Set<Need> met = keeper.map(EngineKeeper::ready).orElse(Set.of());
        List<ModelId> resident =
                met.stream().filter(need -> need.adapter().isEmpty()).map(Need::model).toList();
        List<AdapterId> adapters = met.stream().flatMap(need -> need.adapter().stream()).toList();
        return new Message.Load(
                target,
                loadSequence++,
                departure.isLeaving(),
                submissions.admission().running(),
                submissions.admission().queued(),
                submissions.admission().estimatedWaitMillis(),
                resident,
                adapters,
                keeper.map(EngineKeeper::loading).orElse(List.of()));
    }

    @Override
    public InetSocketAddress peerAddress() {
        return address;
    }

    @Override
    public boolean ready() {
        return ready;
    }

    @Override
    public int requestsInProgress() {
        return submissions.size();
    }

    @Override
    public boolean drain() {
        stopping = true;
        ready = false;
        runtime.control().post(() -> leave(Departure.Reason.PLANNED_STOP, true));
        boolean whole = awaitDrained(runtime.settings().drainMillis());
        if (!whole) {
            cutRest();
        }
        publisher.drain(LAST_RECORD_MILLIS);
        keeper.ifPresent(EngineKeeper::close);
        engine.close();
        ownershipLog.close();
        runtime.control().close();
        return whole;
    }

    private boolean awaitDrained(long limitMillis) {
        try {
            return drained.await(limitMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void cutRest() {
        CountDownLatch done = new CountDownLatch(1);
        runtime.control()
                .post(
                        () -> {
                            LOG.warnf("event=drain-cut requests=%d", submissions.cutAll());
                            done.countDown();
                        });
        try {
            done.await(LAST_RECORD_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private final class OwnershipListener implements LogFollower.Listener {

        @Override
        public void onRecord(LogRecord record) {
            keeper.ifPresent(each -> each.record(record));
            if (record.entry() instanceof LogEntry.DrainRequested drain
                    && drain.target().equals(target)) {
                leave(Departure.Reason.DRAIN_RECORD, drain.leaving());
            }
            if (keeper.isEmpty()
                    && record.entry() instanceof LogEntry.OwnershipTaken taken
                    && taken.target().equals(target)) {
                servicesOwner(taken);
            }
        }

        private void servicesOwner(LogEntry.OwnershipTaken taken) {
            boolean owned = ownsPlainService;
            ownsPlainService = taken.owner().equals(runtime.incarnation());
            if (owned && !ownsPlainService && taken.startedAtMillis() > startedAtMillis) {
                deposed();
            }
        }

        @Override
        public void onGap(long firstOffset) {
            keeper.ifPresent(EngineKeeper::recordsMissed);
        }

        @Override
        public void onCaughtUp(long nextOffset) {
            ownership.ifPresent(each -> each.caughtUp(ControlThread.nowMillis()));
        }

        @Override
        public void onReachable(boolean reachable) {
            keeper.ifPresent(each -> each.logReachable(reachable));
        }
    }

    private final class PlanListener implements LogFollower.Listener {

        @Override
        public void onRecord(LogRecord record) {
            plans.handle(record).ifPresent(now -> keeper.ifPresent(each -> each.plan(now)));
        }

        @Override
        public void onGap(long firstOffset) {
            // A plan states everything that it wants, so an older one is not needed.
        }

        @Override
        public void onCaughtUp(long nextOffset) {
            // Each plan holds from its own record on.
        }

        @Override
        public void onReachable(boolean reachable) {
            // The last plan stays in force while the log is out.
        }
    }
}
