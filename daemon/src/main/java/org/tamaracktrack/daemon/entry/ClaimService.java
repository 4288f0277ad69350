package org.tamaracktrack.daemon.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.claim.ClaimAction;
import org.tamaracktrack.core.claim.ClaimKeeper;
import org.tamaracktrack.core.claim.ClaimLimits;
import org.tamaracktrack.core.claim.ClaimRegister;
import org.tamaracktrack.core.claim.ClaimRequest;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.daemon.configuration.ConfigurationSource;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.daemon.runtime.LogFollower;
import org.tamaracktrack.link.log.LogClient;

/** Claims keys in the log for this daemon's requests. Used on the control thread. */
final class ClaimService implements LogFollower.Listener, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ClaimService.class);
    private static final long BUSY_TICK_MILLIS = 10;
    private static final long IDLE_TICK_MILLIS = 250;

    private final LogClient log;
    private final ControlThread control;
    private final ClaimKeeper keeper;
    private final Map<Long, RequestRunner> waiting = new HashMap<>();
    private final ExecutorService claimAppends = appender("append-claims");
    private final ExecutorService outcomeAppends = appender("append-outcomes");
    private LogFollower follower;
    private boolean busy;
    private long tickets;

    private ClaimService(LogClient log, ControlThread control, ClaimKeeper keeper) {
        this.log = log;
        this.control = control;
        this.keeper = keeper;
    }

    static ClaimService start(
            LogClient log,
            ControlThread control,
            IncarnationId owner,
            ConfigurationSource configuration) {
        ClaimKeeper keeper =
                ClaimKeeper.of(
                        owner,
                        ClaimLimits.standard(),
                        ClaimRegister.UNKNOWN_WINDOW_MILLIS,
                        ControlThread.nowMillis());
        ClaimService service = new ClaimService(log, control, keeper);
        configuration.addListener(
                current -> keeper.window(current.configuration().idempotencyWindowMillis()));
        service.follower = LogFollower.start(log, LogStream.CLAIMS, control, service);
        control.every(IDLE_TICK_MILLIS, service::tick);
        return service;
    }

    private static ExecutorService appender(String name) {
        return Executors.newSingleThreadExecutor(
                task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                });
    }

    void claim(CallerRequest request, RequestRunner runner) {
        CallerRequest.Key key = request.key().orElseThrow();
        long ticket = tickets++;
        waiting.put(ticket, runner);
        carryOut(
                keeper.claim(
                        new ClaimRequest(
                                ticket,
                                request.account().id(),
                                key.keyHash(),
                                key.requestHash(),
                                key.createdAtMillis()),
                        ControlThread.nowMillis(),
                        System.currentTimeMillis()));
    }

    void settle(long claim, Ran ran) {
        carryOut(keeper.settle(claim, ran, ControlThread.nowMillis()));
    }

    boolean settled() {
        return keeper.settled();
    }

    private void tick() {
        carryOut(keeper.tick(ControlThread.nowMillis()));
    }

    private void carryOut(List<ClaimAction> actions) {
        actions.forEach(this::carryOut);
        tickSoonWhileBusy();
    }

    // Ticking ten times as often only while something waits keeps an idle daemon within its part
    // of a core.
    private void tickSoonWhileBusy() {
        if (!busy && (!waiting.isEmpty() || !keeper.settled())) {
            busy = true;
            control.after(
                    BUSY_TICK_MILLIS,
                    () -> {
                        busy = false;
                        tick();
                    });
        }
    }

    private void carryOut(ClaimAction action) {
        if (action instanceof ClaimAction.Append append) {
            append(append);
        } else if (action instanceof ClaimAction.Granted granted) {
            waiting.remove(granted.ticket()).granted(granted.claim());
        } else if (action instanceof ClaimAction.Declined declined) {
            waiting.remove(declined.ticket())
                    .declined(declined.code(), declined.retryAfterMillis());
        }
    }

    private void append(ClaimAction.Append append) {
        ExecutorService appends =
                append.slot() == ClaimAction.Slot.CLAIMS ? claimAppends : outcomeAppends;
        try {
            appends.execute(
                    () -> {
                        ClaimKeeper.AppendOutcome outcome = outcomeOf(append);
                        control.post(
                                () ->
                                        carryOut(
                                                keeper.appended(
                                                        append.slot(),
                                                        outcome,
                                                        ControlThread.nowMillis())));
                    });
        } catch (RejectedExecutionException closed) {
            LOG.debugf("event=append-dropped reason=closed");
        }
    }

    private ClaimKeeper.AppendOutcome outcomeOf(ClaimAction.Append append) {
        try {
            log.append(LogStream.CLAIMS, append.entry());
            return ClaimKeeper.AppendOutcome.WRITTEN;
        } catch (TamaracktrackException failure) {
            return failure.code() == ErrorCode.LOG_UNAVAILABLE
                    ? ClaimKeeper.AppendOutcome.NOT_WRITTEN
                    : ClaimKeeper.AppendOutcome.UNKNOWN;
        }
    }

    @Override
    public void onRecord(LogRecord record) {
        carryOut(keeper.handle(record, ControlThread.nowMillis()));
    }

    @Override
    public void onGap(long firstOffset) {
        LOG.warnf("event=claims-gap first_offset=%d", firstOffset);
        keeper.gap(firstOffset);
    }

    @Override
    public void onCaughtUp(long nextOffset) {
        keeper.caughtUp();
    }

    @Override
    public void onReachable(boolean reachable) {
        LOG.infof("event=claims-log reachable=%s", reachable);
        keeper.reachable(reachable);
    }

    @Override
    public void close() {
        follower.close();
        claimAppends.shutdownNow();
        outcomeAppends.shutdownNow();
    }
}
