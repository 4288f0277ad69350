package org.tamaracktrack.daemon.target;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.admission.AdmissionAction;
import org.tamaracktrack.core.admission.AdmissionMessage;
import org.tamaracktrack.core.admission.AdmissionPolicy;
import org.tamaracktrack.core.admission.AdmissionRequest;
import org.tamaracktrack.core.admission.Need;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.frame.Connection;

/**
 * Manages the attempts at this target from their arrival until each has ended exactly once.
 * Confined to the control thread, except for the map of attempts, in which input/output threads
 * look up an attempt.
 */
final class Submissions implements AttemptListener {
    private static final Logger LOG = Logger.getLogger(Submissions.class);
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ControlThread control;
    private final AdmissionPolicy admission;
    private final Dispatcher dispatcher;
    private final Supplier<Message.Load> load;
    private final TargetMeters meters;
    private final PauseDetector pauseDetector = PauseDetector.of(ControlThread.nowMillis());
    private final Map<AttemptId, Attempt> attempts = new ConcurrentHashMap<>();
    private final Map<Need, Long> lastUsedMillis = new ConcurrentHashMap<>();
    private Runnable onUnmetNeed = () -> {};
    private boolean accepting;
    private boolean leaving;
    private int cutCount;

    private Submissions(
            ControlThread control,
            AdmissionPolicy admission,
            Dispatcher dispatcher,
            Supplier<Message.Load> load,
            TargetMeters meters) {
        this.control = control;
        this.admission = admission;
        this.dispatcher = dispatcher;
        this.load = load;
        this.meters = meters;
    }

    static Submissions of(
            ControlThread control,
            AdmissionPolicy admission,
            Dispatcher dispatcher,
            Supplier<Message.Load> load,
            TargetMeters meters) {
        Objects.requireNonNull(control, "control is null");
        Objects.requireNonNull(admission, "admission is null");
        return new Submissions(control, admission, dispatcher, load, meters);
    }

    void onUnmetNeed(Runnable listener) {
        onUnmetNeed = listener;
    }

    // Called by any thread.
    void submit(Connection connection, Message.Submit submit) {
        Attempt attempt = Attempt.of(submit, connection, ControlThread.nowMillis(), this);
        if (attempts.putIfAbsent(submit.attempt(), attempt) != null) {
            meters.event("doubled.submits");
            return;
        }
        control.post(() -> admit(attempt));
    }

    // Called by any thread.
    void credit(Message.Credit credit) {
        Optional.ofNullable(attempts.get(credit.attempt()))
                .ifPresent(attempt -> attempt.addCredit(credit.bytes()));
    }

    // Called by any thread.
    void cancel(AttemptId id) {
        control.post(
                () ->
                        Optional.ofNullable(attempts.get(id))
                                .ifPresent(attempt -> cancel(attempt, ErrorCode.CANCELLED)));
    }

    // After a suspension the sockets hold requests whose callers have given up. Their cancellation,
    // or the end of the connection, directly follows them; a short wait lets it be read first, so
    // that no abandoned request is started.
    private void admit(Attempt attempt) {
        long waitMillis = pauseDetector.waitMillis(ControlThread.nowMillis());
        if (waitMillis > 0) {
            control.after(waitMillis, () -> admitNow(attempt));
        } else {
            admitNow(attempt);
        }
    }

    private void admitNow(Attempt attempt) {
        if (attempts.get(attempt.submit().attempt()) != attempt) {
            return;
        }
        if (leaving) {
            refuse(attempt, ErrorCode.LEAVING, -1);
        } else if (!accepting) {
            refuse(attempt, ErrorCode.NOT_READY, RETRY_AFTER_MILLIS);
        } else if (!dispatcher.serves(attempt.submit())) {
            refuse(attempt, ErrorCode.NO_TARGET, RETRY_AFTER_MILLIS);
        } else {
            handle(new AdmissionMessage.Arrived(admissionRequestOf(attempt)));
            notifyIfUnmet(attempt);
        }
    }

    private void notifyIfUnmet(Attempt attempt) {
        if (needOf(attempt.submit()).filter(admission.unmetNeeds()::contains).isPresent()) {
            onUnmetNeed.run();
        }
    }

    private static AdmissionRequest admissionRequestOf(Attempt attempt) {
        Message.Submit submit = attempt.submit();
        return new AdmissionRequest(
                submit.attempt(),
                submit.account(),
                submit.requestClass(),
                submit.estimatedTokens(),
                attempt.arrivedAtMillis(),
                attempt.firstTokenByMillis(),
                needOf(submit));
    }

    private static Optional<Need> needOf(Message.Submit submit) {
        return submit.kind() == Message.CallKind.MODEL
                ? submit.model().map(model -> new Need(model, submit.adapter()))
                : Optional.empty();
    }

    void handle(AdmissionMessage message) {
        admission.handle(message, ControlThread.nowMillis()).forEach(this::apply);
    }

    private void apply(AdmissionAction action) {
        Attempt attempt = attempts.get(action.request().attempt());
        if (attempt == null) {
            return;
        }
        if (action instanceof AdmissionAction.Refuse refuse) {
            refuse(attempt, refuse.code(), refuse.retryAfterMillis());
        } else if (action instanceof AdmissionAction.Start start) {
            start(attempt, start.queuedMillis());
        }
    }

    private void refuse(Attempt attempt, ErrorCode code, long retryAfterMillis) {
        attempts.remove(attempt.submit().attempt());
        try {
            if (attempt.refuse(code, retryAfterMillis, load.get())) {
                meters.refused(code);
            }
        } catch (TamaracktrackException failure) {
            reportBreach(failure);
            attempt.fail(ErrorCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, load.get());
        }
    }

    private void reportBreach(TamaracktrackException failure) {
        meters.event("invariant.breaches");
        LOG.errorf("event=invariant-breach what=%s", failure.getMessage());
    }

    // Last check of the deadline before dispatch. A process that was suspended after it decided to
    // start the request would otherwise run a request that was reported to its caller as not
    // served.
    private void start(Attempt attempt, long queuedMillis) {
        if (ControlThread.nowMillis() >= attempt.firstTokenByMillis()) {
            refuse(attempt, ErrorCode.DEADLINE_BEFORE_START, -1);
            postEnded(attempt, OptionalInt.of(1));
            return;
        }
        attempt.recordQueuedMillis(queuedMillis);
        meters.queued(attempt.submit().requestClass(), queuedMillis);
        needOf(attempt.submit())
                .ifPresent(need -> lastUsedMillis.put(need, ControlThread.nowMillis()));
        if (!dispatcher.dispatch(attempt)) {
            postEnded(attempt, OptionalInt.of(1));
        }
    }

    private void postEnded(Attempt attempt, OptionalInt tokens) {
        control.post(() -> handle(new AdmissionMessage.Ended(attempt.submit().attempt(), tokens)));
    }

    @Override
    public void onFirstBytes(Attempt attempt) {
        control.post(
                () -> {
                    meters.firstBytes(
                            attempt.submit().requestClass(),
                            ControlThread.nowMillis() - attempt.arrivedAtMillis());
                    handle(new AdmissionMessage.FirstToken(attempt.submit().attempt()));
                });
    }

    @Override
    public void onComplete(Attempt attempt) {
        control.post(
                () -> {
                    if (attempt.finish(load.get())) {
                        meters.completed(
                                attempt.submit().requestClass(),
                                ControlThread.nowMillis() - attempt.arrivedAtMillis());
                    }
                    remove(attempt);
                });
    }

    @Override
    public void onNotRun(Attempt attempt, ErrorCode code) {
        control.post(
                () -> {
                    refuse(attempt, code, code.retryable() ? RETRY_AFTER_MILLIS : -1);
                    remove(attempt);
                });
    }

    @Override
    public void onFailed(Attempt attempt, ErrorCode code, Ran ran) {
        control.post(
                () -> {
                    if (attempt.fail(code, ran, load.get())) {
                        meters.failed(code);
                    }
                    remove(attempt);
                });
    }

    private void remove(Attempt attempt) {
        attempts.remove(attempt.submit().attempt());
        handle(new AdmissionMessage.Ended(attempt.submit().attempt(), attempt.totalTokens()));
        if (!admission.unmetNeeds().isEmpty()) {
            onUnmetNeed.run();
        }
    }

    private void cancel(Attempt attempt, ErrorCode code) {
        if (attempt.mayHaveRun()) {
            attempt.cancel(code);
            return;
        }
        handle(new AdmissionMessage.Cancelled(attempt.submit().attempt()));
        if (attempts.get(attempt.submit().attempt()) == attempt) {
            refuse(attempt, ErrorCode.CANCELLED_BEFORE_START, -1);
        }
    }

    // The answers can no longer be delivered. Attempts that did not start or are idempotent are
    // cancelled, since they can be retried elsewhere. Others may finish, since a half-executed
    // request is worse than a complete one whose answer is lost.
    void connectionLost(Connection connection) {
        attempts.values().stream()
                .filter(attempt -> attempt.connection().equals(connection))
                .forEach(
                        attempt -> {
                            if (attempt.mayHaveRun() && !attempt.submit().idempotent()) {
                                meters.event("orphaned.finishing");
                            } else {
                                cancel(attempt, ErrorCode.CANCELLED);
                            }
                        });
    }

    void tick() {
        long nowMillis = ControlThread.nowMillis();
        pauseDetector.tick(nowMillis);
        attempts.values().stream()
                .filter(attempt -> nowMillis >= attempt.deadlineMillis())
                .filter(Attempt::mayHaveRun)
                .forEach(attempt -> attempt.cancel(ErrorCode.DEADLINE_WHILE_RUNNING));
        handle(new AdmissionMessage.Tick());
        lastUsedMillis.values().removeIf(usedAt -> nowMillis - usedAt > 3_600_000);
    }

    void startAccepting() {
        accepting = true;
    }

    void updateLeaving(boolean newLeaving) {
        leaving = newLeaving;
    }

    boolean isLeaving() {
        return leaving;
    }

    boolean isAccepting() {
        return accepting && !leaving;
    }

    // Called by any thread.
    int size() {
        return attempts.size();
    }

    /**
     * Ends all attempts because the drain deadline has passed. Those that may have run fail with an
     * unknown outcome; the others are refused.
     *
     * @return the number of attempts ended by this method so far
     */
    int cutAll() {
        List.copyOf(attempts.values())
                .forEach(
                        attempt -> {
                            cutCount++;
                            if (attempt.mayHaveRun()) {
                                attempt.cancel(ErrorCode.OUTCOME_UNKNOWN);
                                attempt.fail(ErrorCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, load.get());
                            } else {
                                refuse(attempt, ErrorCode.LEAVING, -1);
                            }
                        });
        return cutCount;
    }

    Set<Need> inUse() {
        return attempts.values().stream()
                .filter(Attempt::mayHaveRun)
                .flatMap(attempt -> needOf(attempt.submit()).stream())
                .collect(Collectors.toSet());
    }

    Map<Need, Long> lastUsedMillis() {
        return Map.copyOf(lastUsedMillis);
    }

    AdmissionPolicy admission() {
        return admission;
    }
}
