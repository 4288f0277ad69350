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
 * The attempts at this target, from their arrival to their one end. State belongs to the control
 * thread, but for the map, which input/output threads use to find an attempt.
 */
final class Submissions implements AttemptListener {
    private static final Logger LOG = Logger.getLogger(Submissions.class);
    private static final long RETRY_MILLIS = 1_000;

    private final ControlThread control;
    private final AdmissionPolicy admission;
    private final Dispatcher dispatcher;
    private final Supplier<Message.Load> load;
    private final TargetMeters meters;
    private final PauseGuard pauses = PauseGuard.of(ControlThread.nowMillis());
    private final Map<AttemptId, Attempt> attempts = new ConcurrentHashMap<>();
    private final Map<Need, Long> lastUsedMillis = new ConcurrentHashMap<>();
    private Runnable onUnmetNeed = () -> {};
    private boolean accepting;
    private boolean leaving;
    private int cut;

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

    // Any thread.
    void submit(Connection connection, Message.Submit submit) {
        Attempt attempt = Attempt.of(submit, connection, ControlThread.nowMillis(), this);
        if (attempts.putIfAbsent(submit.attempt(), attempt) != null) {
            meters.event("doubled.submits");
            return;
        }
        control.post(() -> admit(attempt));
    }

    // Any thread.
    void credit(Message.Credit credit) {
        Optional.ofNullable(attempts.get(credit.attempt()))
                .ifPresent(attempt -> attempt.addCredit(credit.bytes()));
    }

    // Any thread.
    void cancel(AttemptId id) {
        control.post(
                () ->
                        Optional.ofNullable(attempts.get(id))
                                .ifPresent(attempt -> cancel(attempt, ErrorCode.CANCELLED)));
    }

    // A process that was frozen finds requests in its sockets whose callers gave up long ago. The
    // cancel, or the end of the connection, lies right behind them: a moment's wait lets it be read
    // first, so that no dead request is started.
    private void admit(Attempt attempt) {
        long wait = pauses.waitMillis(ControlThread.nowMillis());
        if (wait > 0) {
            control.after(wait, () -> arrived(attempt));
        } else {
            arrived(attempt);
        }
    }

    private void arrived(Attempt attempt) {
        if (attempts.get(attempt.submit().attempt()) != attempt) {
            return;
        }
        if (leaving) {
            refuse(attempt, ErrorCode.LEAVING, -1);
        } else if (!accepting) {
            refuse(attempt, ErrorCode.NOT_READY, RETRY_MILLIS);
        } else if (!dispatcher.serves(attempt.submit())) {
            refuse(attempt, ErrorCode.NO_TARGET, RETRY_MILLIS);
        } else {
            handle(new AdmissionMessage.Arrived(workOf(attempt)));
            announceUnmetNeeds(attempt);
        }
    }

    private void announceUnmetNeeds(Attempt attempt) {
        if (needOf(attempt.submit()).filter(admission.unmetNeeds()::contains).isPresent()) {
            onUnmetNeed.run();
        }
    }

    private static AdmissionRequest workOf(Attempt attempt) {
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
        } catch (TamaracktrackException breach) {
            breach(breach);
            attempt.fail(ErrorCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, load.get());
        }
    }

    private void breach(TamaracktrackException failure) {
        meters.event("invariant.breaches");
        LOG.errorf("event=invariant-breach what=%s", failure.getMessage());
    }

    // The last look at the clock before bytes go out. A process that was paused after it decided to
    // start would otherwise run a request whose caller has been told that it was not served.
    private void start(Attempt attempt, long queuedMillis) {
        if (ControlThread.nowMillis() >= attempt.firstTokenByMillis()) {
            refuse(attempt, ErrorCode.DEADLINE_BEFORE_START, -1);
            ended(attempt, OptionalInt.of(1));
            return;
        }
        attempt.queuedFor(queuedMillis);
        meters.queued(attempt.submit().requestClass(), queuedMillis);
        needOf(attempt.submit())
                .ifPresent(need -> lastUsedMillis.put(need, ControlThread.nowMillis()));
        if (!dispatcher.dispatch(attempt)) {
            ended(attempt, OptionalInt.of(1));
        }
    }

    private void ended(Attempt attempt, OptionalInt tokens) {
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
    public void onWhole(Attempt attempt) {
        control.post(
                () -> {
                    if (attempt.finish(load.get())) {
                        meters.whole(
                                attempt.submit().requestClass(),
                                ControlThread.nowMillis() - attempt.arrivedAtMillis());
                    }
                    forget(attempt);
                });
    }

    @Override
    public void onNotRun(Attempt attempt, ErrorCode code) {
        control.post(
                () -> {
                    refuse(attempt, code, code.retryable() ? RETRY_MILLIS : -1);
                    forget(attempt);
                });
    }

    @Override
    public void onFailed(Attempt attempt, ErrorCode code, Ran ran) {
        control.post(
                () -> {
                    if (attempt.fail(code, ran, load.get())) {
                        meters.failed(code);
                    }
                    forget(attempt);
                });
    }

    private void forget(Attempt attempt) {
        attempts.remove(attempt.submit().attempt());
        handle(new AdmissionMessage.Ended(attempt.submit().attempt(), attempt.tokens()));
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

    // Nobody is left to read the answers. What may be run again is stopped; what may not is left to
    // finish, since half an approval is worse than one whose answer is lost.
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
        long now = ControlThread.nowMillis();
        pauses.tick(now);
        attempts.values().stream()
                .filter(attempt -> now >= attempt.deadlineMillis())
                .filter(Attempt::mayHaveRun)
                .forEach(attempt -> attempt.cancel(ErrorCode.DEADLINE_WHILE_RUNNING));
        handle(new AdmissionMessage.Tick());
        lastUsedMillis.values().removeIf(usedAt -> now - usedAt > 3_600_000);
    }

    void accept() {
        accepting = true;
    }

    void leave(boolean nowLeaving) {
        leaving = nowLeaving;
    }

    boolean isLeaving() {
        return leaving;
    }

    boolean isAccepting() {
        return accepting && !leaving;
    }

    // Any thread.
    int size() {
        return attempts.size();
    }

    /** The time for a planned stop is over: what still runs is cut, and said to be so. */
    int cutAll() {
        List.copyOf(attempts.values())
                .forEach(
                        attempt -> {
                            cut++;
                            if (attempt.mayHaveRun()) {
                                attempt.cancel(ErrorCode.OUTCOME_UNKNOWN);
                                attempt.fail(ErrorCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, load.get());
                            } else {
                                refuse(attempt, ErrorCode.LEAVING, -1);
                            }
                        });
        return cut;
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
