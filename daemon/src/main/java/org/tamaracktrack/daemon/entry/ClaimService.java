package org.tamaracktrack.daemon.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.claim.ClaimAction;
import org.tamaracktrack.core.claim.ClaimLimits;
import org.tamaracktrack.core.claim.ClaimManager;
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

/**
 * Claims idempotency keys in the log for this daemon's requests. All methods must be called on the
 * control thread.
 */
final class ClaimService implements LogFollower.Listener, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ClaimService.class);
    private static final long PENDING_TICK_MILLIS = 10;
    private static final long IDLE_TICK_MILLIS = 250;

    private final LogClient log;
    private final ControlThread control;
    private final ClaimManager claimManager;
    private final Map<Long, RequestRunner> waitingRunners = new HashMap<>();
    private final ExecutorService claimAppendExecutor = appendExecutor("append-claims");
    private final ExecutorService outcomeAppendExecutor = appendExecutor("append-outcomes");
    private LogFollower follower;
    private boolean tickScheduled;
    private long nextTicket;

    private ClaimService(LogClient log, ControlThread control, ClaimManager claimManager) {
        this.log = log;
        this.control = control;
        this.claimManager = claimManager;
    }

    static ClaimService start(
            LogClient log,
            ControlThread control,
            IncarnationId owner,
            ConfigurationSource configuration) {
        ClaimManager claimManager =
                ClaimManager.of(
                        owner,
                        ClaimLimits.standard(),
                        ClaimRegister.UNKNOWN_WINDOW_MILLIS,
                        ControlThread.nowMillis());
        ClaimService service = new ClaimService(log, control, claimManager);
        configuration.addListener(
                current ->
                        claimManager.changeWindow(
                                current.configuration().idempotencyWindowMillis()));
        service.follower = LogFollower.start(log, LogStream.CLAIMS, control, service);
        control.every(IDLE_TICK_MILLIS, service::tick);
        return service;
    }

    private static ExecutorService appendExecutor(String name) {
        return Executors.newSingleThreadExecutor(
                task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /** Claims the key of a request and notifies the runner when it was granted or declined. */
    void claim(CallerRequest request, RequestRunner runner) {
        CallerRequest.IdempotencyKey key = request.idempotencyKey().orElseThrow();
        long ticket = nextTicket++;
        waitingRunners.put(ticket, runner);
        carryOut(
                claimManager.claim(
                        new ClaimRequest(
                                ticket,
                                request.account().id(),
                                key.keyHash(),
                                key.requestHash(),
                                key.createdAtMillis()),
                        ControlThread.nowMillis(),
                        System.currentTimeMillis()));
    }

    /** Records in the log whether the request of a claim ran. */
    void settle(long claim, Ran ran) {
        carryOut(claimManager.settle(claim, ran, ControlThread.nowMillis()));
    }

    /** Returns whether the outcomes of all claims of this daemon have been recorded. */
    boolean allSettled() {
        return claimManager.allSettled();
    }

    private void tick() {
        carryOut(claimManager.tick(ControlThread.nowMillis()));
    }

    private void carryOut(List<ClaimAction> actions) {
        actions.forEach(this::carryOut);
        scheduleTickWhileClaimsPending();
    }

    // The short tick interval applies only while claims are waiting or unsettled. This keeps an
    // idle daemon within its share of a processor core.
    private void scheduleTickWhileClaimsPending() {
        if (!tickScheduled && (!waitingRunners.isEmpty() || !claimManager.allSettled())) {
            tickScheduled = true;
            control.after(
                    PENDING_TICK_MILLIS,
                    () -> {
                        tickScheduled = false;
                        tick();
                    });
        }
    }

    private void carryOut(ClaimAction action) {
        if (action instanceof ClaimAction.Append append) {
            append(append);
        } else if (action instanceof ClaimAction.Granted granted) {
            waitingRunners.remove(granted.ticket()).claimGranted(granted.claim());
        } else if (action instanceof ClaimAction.Declined declined) {
            waitingRunners
                    .remove(declined.ticket())
                    .claimDeclined(declined.code(), declined.retryAfterMillis());
        }
    }

    private void append(ClaimAction.Append append) {
        ExecutorService executor =
                append.kind() == ClaimAction.AppendKind.CLAIMS
                        ? claimAppendExecutor
                        : outcomeAppendExecutor;
        try {
            executor.execute(
                    () -> {
                        ClaimManager.AppendOutcome outcome = appendToLog(append);
                        control.post(
                                () ->
                                        carryOut(
                                                claimManager.appended(
                                                        append.kind(),
                                                        outcome,
                                                        ControlThread.nowMillis())));
                    });
        } catch (RejectedExecutionException closed) {
            LOG.debugf("event=append-dropped reason=closed");
        }
    }

    private ClaimManager.AppendOutcome appendToLog(ClaimAction.Append append) {
        try {
            log.append(LogStream.CLAIMS, append.entry());
            return ClaimManager.AppendOutcome.WRITTEN;
        } catch (TamaracktrackException failure) {
            return failure.code() == ErrorCode.LOG_UNAVAILABLE
                    ? ClaimManager.AppendOutcome.NOT_WRITTEN
                    : ClaimManager.AppendOutcome.UNKNOWN;
        }
    }

    @Override
    public void onRecord(LogRecord record) {
        carryOut(claimManager.handle(record, ControlThread.nowMillis()));
    }

    @Override
    public void onGap(long firstOffset) {
        LOG.warnf("event=claims-gap first_offset=%d", firstOffset);
        claimManager.recordsExpired(firstOffset);
    }

    @Override
    public void onCaughtUp(long nextOffset) {
        claimManager.caughtUp();
    }

    @Override
    public void onReachable(boolean reachable) {
        LOG.infof("event=claims-log reachable=%s", reachable);
        claimManager.reachable(reachable);
    }

    @Override
    public void close() {
        follower.close();
        claimAppendExecutor.shutdownNow();
        outcomeAppendExecutor.shutdownNow();
    }
}
