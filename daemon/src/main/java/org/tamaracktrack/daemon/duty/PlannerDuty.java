package org.tamaracktrack.daemon.duty;

import io.micrometer.core.instrument.Counter;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogEntry.Placement;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.core.placement.DemandEstimator;
import org.tamaracktrack.core.placement.PlacementPolicy;
import org.tamaracktrack.core.placement.PlanRegister;
import org.tamaracktrack.core.placement.Planner;
import org.tamaracktrack.core.placement.PlanningView;
import org.tamaracktrack.core.placement.TargetStatus;
import org.tamaracktrack.daemon.configuration.ConfigurationSource;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.daemon.runtime.DaemonRuntime;

/** Publishes placement plans while this process holds the duty. Used on the control thread only. */
final class PlannerDuty {
    private static final Logger LOG = Logger.getLogger(PlannerDuty.class);
    private static final int REPORT_INTERVALS_PER_REPEAT = 60;
    private static final long READ_BACK_TIMEOUT_MILLIS = 5_000;

    private final DaemonRuntime runtime;
    private final TargetView targets;
    private final PlacementPolicy policy;
    private final PlanRegister plans;
    private final DutyLease lease;
    private final DutyAppender appender;
    private final ReportsFollower follower;
    private final Counter published;
    private final Counter breaches;
    private Planner planner;
    private DemandEstimator demand = DemandEstimator.empty();
    private boolean appending;
    private long awaitedOffset = -1;
    private long publishedAtMillis;
    private long runningRecordedAtMillis;

    private PlannerDuty(
            DaemonRuntime runtime,
            TargetView targets,
            PlacementPolicy policy,
            PlanRegister plans,
            DutyLease lease,
            DutyAppender appender) {
        this.runtime = runtime;
        this.targets = targets;
        this.policy = policy;
        this.plans = plans;
        this.lease = lease;
        this.appender = appender;
        this.follower = ReportsFollower.of(runtime);
        this.published = runtime.metrics().counter("tamaracktrack.plans.published");
        this.breaches = runtime.metrics().counter("tamaracktrack.plan.breaches");
        this.planner = Planner.of(policy, Planner.DEFAULT_LOSS_GRACE_MILLIS);
    }

    static PlannerDuty of(
            DaemonRuntime runtime,
            TargetView targets,
            PlacementPolicy policy,
            PlanRegister plans,
            DutyLease lease,
            DutyAppender appender) {
        return new PlannerDuty(runtime, targets, policy, plans, lease, appender);
    }

    void tick() {
        OptionalLong term = lease.term();
        if (term.isEmpty()) {
            follower.stop();
            return;
        }
        follower.start(this::beginTerm);
        Optional<ConfigurationSource.VersionedConfiguration> configuration =
                runtime.configuration().current();
        if (configuration.isPresent() && follower.caughtUp() && !awaitingReadBack()) {
            plan(term.getAsLong(), configuration.get());
        }
    }

    // The planner of an earlier term is discarded, since its unreachability times and load tokens
    // are stale: targets would count as lost for the time in which another process held the duty.
    private ReportsFollower.Sink beginTerm() {
        planner = Planner.of(policy, Planner.DEFAULT_LOSS_GRACE_MILLIS);
        demand = DemandEstimator.empty();
        runningRecordedAtMillis = ControlThread.nowMillis();
        return new DemandSink();
    }

    // Each plan is based on the plan in force, which is known only once the last appended plan was
    // read back. Planning earlier could place a replica twice.
    private boolean awaitingReadBack() {
        boolean notReadBack = plans.inForceOffset() < awaitedOffset;
        boolean withinTimeout =
                ControlThread.nowMillis() - publishedAtMillis < READ_BACK_TIMEOUT_MILLIS;
        return appending || notReadBack && withinTimeout;
    }

    private void plan(long term, ConfigurationSource.VersionedConfiguration configuration) {
        PlanningView view = view(configuration);
        recordRunning(view);
        List<Placement> inForce =
                plans.inForce().map(LogEntry.PlanPublished::placements).orElse(List.of());
        try {
            List<Placement> next = planner.next(inForce, view);
            if (mustPublish(next, inForce)) {
                publish(term, configuration.version(), next);
            }
        } catch (TamaracktrackException breach) {
            breaches.increment();
            LOG.errorf(breach, "event=plan-breach");
        }
    }

    private boolean mustPublish(List<Placement> next, List<Placement> inForce) {
        boolean changed = !Set.copyOf(next).equals(Set.copyOf(inForce));
        long ageMillis = ControlThread.nowMillis() - publishedAtMillis;
        boolean repeat =
                ageMillis >= REPORT_INTERVALS_PER_REPEAT * runtime.settings().reportMillis();
        return !next.isEmpty() && (changed || repeat);
    }

    private void publish(long term, long version, List<Placement> placements) {
        appending = true;
        publishedAtMillis = ControlThread.nowMillis();
        appender.append(
                LogStream.PLAN,
                new LogEntry.PlanPublished(runtime.incarnation(), term, version, placements),
                lease::isValid,
                new Outcome());
    }

    private PlanningView view(ConfigurationSource.VersionedConfiguration configuration) {
        Map<TargetId, TargetStatus> statuses =
                targets.targets().entrySet().stream()
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey, entry -> status(entry.getValue())));
        return new PlanningView(
                ControlThread.nowMillis(),
                configuration.configuration(),
                statuses,
                demand.demand());
    }

    private static TargetStatus status(TargetView.TargetObservation observation) {
        return new TargetStatus(
                observation.reachable(),
                observation.load().leaving(),
                observation.load().running(),
                observation.load().queued(),
                Set.copyOf(observation.load().resident()),
                Set.copyOf(observation.load().adapters()),
                Set.copyOf(observation.load().loading()));
    }

    private void recordRunning(PlanningView view) {
        int running =
                view.targets().values().stream()
                        .filter(TargetStatus::reachable)
                        .mapToInt(TargetStatus::running)
                        .sum();
        demand.observeRunning(running, view.nowMillis() - runningRecordedAtMillis);
        runningRecordedAtMillis = view.nowMillis();
    }

    private final class DemandSink implements ReportsFollower.Sink {
        @Override
        public void onRecord(LogRecord record) {
            demand.handle(record);
        }

        @Override
        public void onGap(long firstOffset) {
            LOG.debugf("event=reports-gap first=%d", firstOffset);
        }
    }

    private final class Outcome implements DutyAppender.Listener {
        @Override
        public void onAppended(long offset, long sentAtMillis) {
            appending = false;
            awaitedOffset = offset;
            published.increment();
        }

        @Override
        public void onFailed(ErrorCode code) {
            appending = false;
            LOG.debugf("event=plan-not-published code=%s", code);
        }
    }
}
