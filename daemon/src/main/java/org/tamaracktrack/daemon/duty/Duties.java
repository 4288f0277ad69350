package org.tamaracktrack.daemon.duty;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.tamaracktrack.core.lease.Duty;
import org.tamaracktrack.core.lease.LeaseManager;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.core.placement.PlacementKind;
import org.tamaracktrack.core.placement.PlanRegister;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.daemon.runtime.DaemonRuntime;
import org.tamaracktrack.daemon.runtime.LogFollower;

/** Runs the duties of an entry daemon, each of which it performs while it holds its lease. */
public final class Duties {
    private static final long LEASE_MILLIS = 10_000;
    private static final long MAXIMUM_CLAIM_DELAY_MILLIS = 2_000;
    private static final long LEASE_TICK_MILLIS = 250;
    private static final long DUTY_TICK_MILLIS = 1_000;
    private static final long RELEASE_TIMEOUT_MILLIS = 2_000;

    private final DaemonRuntime runtime;
    private final PlanRegister plans = PlanRegister.empty();
    private final DutyAppender appender;
    private final DutyLease plannerLease;
    private final DutyLease reporterLease;
    private final Optional<PlannerDuty> planner;
    private final ReporterDuty reporter;
    private Optional<LogFollower> follower = Optional.empty();
    private boolean draining;

    private Duties(DaemonRuntime runtime, TargetView targets, PlacementKind placement) {
        this.runtime = runtime;
        this.appender = DutyAppender.of(runtime.log(), runtime.control());
        this.plannerLease = lease(Duty.PLANNER);
        this.reporterLease = lease(Duty.REPORTER);
        this.planner =
                placement
                        .policy()
                        .map(
                                policy ->
                                        PlannerDuty.of(
                                                runtime,
                                                targets,
                                                policy,
                                                plans,
                                                plannerLease,
                                                appender));
        this.reporter = ReporterDuty.of(runtime, reporterLease, appender);
    }

    /**
     * Starts to compete for the duties.
     *
     * @param runtime the components of the process
     * @param targets the last observed states of the targets
     * @param placement the placement policy
     * @return the duties
     */
    public static Duties start(DaemonRuntime runtime, TargetView targets, PlacementKind placement) {
        Objects.requireNonNull(runtime, "runtime is null");
        Objects.requireNonNull(targets, "targets is null");
        Objects.requireNonNull(placement, "placement is null");
        Duties duties = new Duties(runtime, targets, placement);
        runtime.control().post(duties::begin);
        return duties;
    }

    /**
     * Starts to compete for the duties with the default placement policy.
     *
     * @param runtime the components of the process
     * @param targets the last observed states of the targets
     * @return the duties
     */
    public static Duties start(DaemonRuntime runtime, TargetView targets) {
        return start(runtime, targets, PlacementKind.HYSTERESIS);
    }

    private DutyLease lease(Duty duty) {
        LeaseManager manager =
                LeaseManager.of(
                        duty,
                        runtime.incarnation(),
                        LEASE_MILLIS,
                        ThreadLocalRandom.current().nextLong(MAXIMUM_CLAIM_DELAY_MILLIS),
                        ControlThread.nowMillis());
        return DutyLease.of(duty.text(), manager, appender);
    }

    private void begin() {
        follower =
                Optional.of(
                        LogFollower.start(
                                runtime.log(), LogStream.PLAN, runtime.control(), new Listener()));
        runtime.control().every(LEASE_TICK_MILLIS, this::tickLeases);
        runtime.control().every(DUTY_TICK_MILLIS, this::tickDuties);
    }

    private void tickLeases() {
        if (draining) {
            return;
        }
        planner.ifPresent(unused -> plannerLease.tick());
        reporterLease.tick();
    }

    private void tickDuties() {
        if (draining) {
            return;
        }
        planner.ifPresent(PlannerDuty::tick);
        reporter.tick();
    }

    /**
     * Returns whether this process may act on a duty now. May be called by any thread.
     *
     * @param duty the duty
     * @return true while its lease is valid
     */
    public boolean holds(Duty duty) {
        return (duty == Duty.PLANNER ? plannerLease : reporterLease).isValid();
    }

    /**
     * Releases the leases of the duties, so that another process can take them at once. Blocks
     * until the releases are written or a timeout has passed; must not be called on the control
     * thread.
     */
    public void drain() {
        CountDownLatch released = new CountDownLatch(1);
        runtime.control().post(() -> release(released));
        try {
            released.await(RELEASE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        appender.drain(RELEASE_TIMEOUT_MILLIS);
    }

    private void release(CountDownLatch released) {
        draining = true;
        plannerLease.release();
        reporterLease.release();
        follower.ifPresent(LogFollower::close);
        released.countDown();
    }

    private final class Listener implements LogFollower.Listener {
        @Override
        public void onRecord(LogRecord record) {
            plans.handle(record);
            plannerLease.onRecord(record);
            reporterLease.onRecord(record);
        }

        @Override
        public void onGap(long firstOffset) {}

        @Override
        public void onCaughtUp(long nextOffset) {}

        @Override
        public void onReachable(boolean reachable) {}
    }
}
