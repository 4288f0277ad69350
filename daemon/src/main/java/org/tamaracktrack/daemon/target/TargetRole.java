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

/** Runs the target role of a daemon. */
public final class TargetRole implements DaemonRole {
    private static final Logger LOG = Logger.getLogger(TargetRole.class);
    private static final long TICK_MILLIS = 50;
    private static final long FINAL_STEP_TIMEOUT_MILLIS = 2_000;
    private static final AdmissionLimits NO_LIMITS = new AdmissionLimits(0, Map.of(), Map.of());

    private final long startedAtMillis = System.currentTimeMillis();
    private final DaemonRuntime runtime;
    private final TargetId target;
    private final TargetMeters meters;
    private final Dispatcher dispatcher;
    private final Submissions submissions;
    private final PeerHandler peers;
    private final OwnershipAppender ownershipAppender;
    private final EngineClient engine;
    private final Counters counters = Counters.empty();
    private final CounterPublisher publisher;
    private final PlanRegister planRegister = PlanRegister.empty();
    private final LeavingReasons leavingReasons = LeavingReasons.none();
    private final CountDownLatch drained = new CountDownLatch(1);
    private InetSocketAddress address;
    private Optional<OwnershipRenewer> ownershipRenewer = Optional.empty();
    private Optional<EngineKeeper> engineController = Optional.empty();
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
        this.ownershipAppender = OwnershipAppender.of(runtime.log());
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
     * Starts the role with the fair admission policy.
     *
     * @param runtime the components that the role uses
     * @return the running role
     * @throws TamaracktrackException with {@code INVALID_SETTINGS} if the settings name no target
     */
    public static TargetRole start(DaemonRuntime runtime) {
        return start(runtime, AdmissionKind.FAIR);
    }

    /**
     * Starts the role with an admission policy.
     *
     * @param runtime the components that the role uses
     * @param admission the admission policy
     * @return the running role
     * @throws TamaracktrackException with {@code INVALID_SETTINGS} if the settings name no target
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
                                                "no target set for the target role"));
        TargetRole role = new TargetRole(runtime, target, admission);
        role.open();
        return role;
    }

    private void open() {
        address = runtime.transport().listen(runtime.settings().peerAddress(), peers);
        OwnershipRenewer renewer =
                OwnershipRenewer.of(
                        new LogEntry.OwnershipTaken(
                                target,
                                runtime.incarnation(),
                                runtime.settings().host(),
                                runtime.settings().dataCentre(),
                                address.getAddress().getHostAddress() + ":" + address.getPort(),
                                startedAtMillis),
                        ownershipAppender,
                        this::isOwner);
        ownershipRenewer = Optional.of(renewer);
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
                                                                        updateLeaving(
                                                                                LeavingReasons
                                                                                        .Reason
                                                                                        .HOST_LIST,
                                                                                leaving))));
        meters.gauge("running", () -> submissions.admission().running());
        meters.gauge("waiting", () -> submissions.admission().queued());
        runtime.configuration().addListener(this::configure);
        runtime.control().every(TICK_MILLIS, this::tick);
    }

    private void tick() {
        submissions.tick();
        ownershipRenewer
                .filter(renewer -> configured.isPresent())
                .ifPresent(OwnershipRenewer::tick);
        if (stopping && submissions.size() == 0) {
            drained.countDown();
        }
    }

    private boolean isOwner() {
        return engineController.map(EngineKeeper::isOwner).orElse(ownsPlainService);
    }

    private void configure(ConfigurationSource.VersionedConfiguration versioned) {
        Configuration configuration = versioned.configuration();
        Optional<Configuration.Target> newTarget =
                Optional.ofNullable(configuration.targets().get(target));
        if (newTarget.isEmpty()) {
            LOG.warnf(
                    "event=target-not-configured target=%s version=%d",
                    target, versioned.version());
            return;
        }
        boolean first = configured.isEmpty();
        configured = newTarget;
        dispatcher.configure(configuration, newTarget.get());
        submissions.handle(
                new AdmissionMessage.LimitsChanged(
                        AdmissionLimits.of(configuration, newTarget.get().concurrency())));
        if (first) {
            startServing(configuration, newTarget.get());
        } else {
            engineController.ifPresent(
                    controller -> controller.configure(configuration, newTarget.get()));
        }
    }

    private void startServing(Configuration configuration, Configuration.Target configuredTarget) {
        if (configuredTarget.kind() == Configuration.TargetKind.ENGINE) {
            EngineKeeper controller =
                    EngineKeeper.start(
                            configuration,
                            configuredTarget,
                            runtime.incarnation(),
                            startedAtMillis,
                            runtime.control(),
                            engine,
                            ownershipAppender,
                            submissions,
                            counters,
                            meters);
            controller.onReadyChanged(() -> peers.sendToAll(new Message.LoadReport(load())));
            controller.onDeposed(this::onDeposed);
            engineController = Optional.of(controller);
            LogFollower.start(runtime.log(), LogStream.PLAN, runtime.control(), new PlanListener());
        }
        LogFollower.start(
                runtime.log(), LogStream.OWNERSHIP, runtime.control(), new OwnershipListener());
        submissions.startAccepting();
        ready = !stopping;
        LOG.infof("event=target-serving target=%s address=%s", target, address);
    }

    private void onDeposed() {
        ownershipRenewer.ifPresent(OwnershipRenewer::onDeposed);
        updateLeaving(LeavingReasons.Reason.DEPOSED, true);
    }

    private void updateLeaving(LeavingReasons.Reason reason, boolean active) {
        if (!leavingReasons.update(reason, active)) {
            return;
        }
        submissions.updateLeaving(leavingReasons.isLeaving());
        LOG.infof(
                "event=leaving target=%s leaving=%s reason=%s",
                target, leavingReasons.isLeaving(), reason);
        ready = configured.isPresent() && !leavingReasons.isLeaving();
        peers.sendToAll(
                leavingReasons.isLeaving()
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
        Set<Need> readyNeeds = engineController.map(EngineKeeper::ready).orElse(Set.of());
        List<ModelId> resident =
                readyNeeds.stream()
                        .filter(need -> need.adapter().isEmpty())
                        .map(Need::model)
                        .toList();
        List<AdapterId> adapters =
                readyNeeds.stream().flatMap(need -> need.adapter().stream()).toList();
        return new Message.Load(
                target,
                loadSequence++,
                leavingReasons.isLeaving(),
                submissions.admission().running(),
                submissions.admission().queued(),
                submissions.admission().estimatedWaitMillis(),
                resident,
                adapters,
                engineController.map(EngineKeeper::loading).orElse(List.of()));
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
        runtime.control().post(() -> updateLeaving(LeavingReasons.Reason.PLANNED_STOP, true));
        boolean drainedInTime = awaitDrained(runtime.settings().drainMillis());
        if (!drainedInTime) {
            cutRemaining();
        }
        publisher.drain(FINAL_STEP_TIMEOUT_MILLIS);
        engineController.ifPresent(EngineKeeper::close);
        engine.close();
        ownershipAppender.close();
        runtime.control().close();
        return drainedInTime;
    }

    private boolean awaitDrained(long limitMillis) {
        try {
            return drained.await(limitMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void cutRemaining() {
        CountDownLatch done = new CountDownLatch(1);
        runtime.control()
                .post(
                        () -> {
                            LOG.warnf("event=drain-cut requests=%d", submissions.cutAll());
                            done.countDown();
                        });
        try {
            done.await(FINAL_STEP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private final class OwnershipListener implements LogFollower.Listener {

        @Override
        public void onRecord(LogRecord record) {
            engineController.ifPresent(controller -> controller.onRecord(record));
            if (record.entry() instanceof LogEntry.DrainRequested drain
                    && drain.target().equals(target)) {
                updateLeaving(LeavingReasons.Reason.DRAIN_RECORD, drain.leaving());
            }
            if (engineController.isEmpty()
                    && record.entry() instanceof LogEntry.OwnershipTaken taken
                    && taken.target().equals(target)) {
                onServiceOwnershipTaken(taken);
            }
        }

        private void onServiceOwnershipTaken(LogEntry.OwnershipTaken taken) {
            boolean wasOwner = ownsPlainService;
            ownsPlainService = taken.owner().equals(runtime.incarnation());
            if (wasOwner && !ownsPlainService && taken.startedAtMillis() > startedAtMillis) {
                onDeposed();
            }
        }

        @Override
        public void onGap(long firstOffset) {
            engineController.ifPresent(EngineKeeper::onRecordsMissed);
        }

        @Override
        public void onCaughtUp(long nextOffset) {
            ownershipRenewer.ifPresent(renewer -> renewer.onCaughtUp(ControlThread.nowMillis()));
        }

        @Override
        public void onReachable(boolean reachable) {
            engineController.ifPresent(controller -> controller.logReachable(reachable));
        }
    }

    private final class PlanListener implements LogFollower.Listener {

        @Override
        public void onRecord(LogRecord record) {
            planRegister
                    .handle(record)
                    .ifPresent(
                            published ->
                                    engineController.ifPresent(
                                            controller -> controller.updatePlan(published)));
        }

        @Override
        public void onGap(long firstOffset) {
            // Each plan is complete, so earlier plans are not needed.
        }

        @Override
        public void onCaughtUp(long nextOffset) {
            // A plan takes effect when its record is read.
        }

        @Override
        public void onReachable(boolean reachable) {
            // The last plan stays in force while the log is unavailable.
        }
    }
}
