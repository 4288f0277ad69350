package org.tamaracktrack.core.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.core.retry.RetryPolicy;

/**
 * The state of one request. The caller is answered once; an attempt is followed by another only
 * when it certainly did not run or the request is idempotent.
 */
public final class RequestExchange {
    private static final long NO_HINT = -1;
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    private final ExchangeFacts facts;
    private final RetryPolicy rule;
    private final Set<TargetId> tried = new TreeSet<>();
    private final List<ExchangeAction> actions = new ArrayList<>();
    private final CallerSide caller;
    private AttemptId attempt;
    private Phase phase = Phase.NEW;
    private Optional<AttemptAnswer> answer = Optional.empty();
    private Optional<ExchangeAction.AnswerError> refusal = Optional.empty();
    private boolean mayHaveRun;

    private enum Phase {
        NEW,
        ROUTING,
        SENT,
        ENDED
    }

    private RequestExchange(ExchangeFacts facts, RetryPolicy rule) {
        this.facts = facts;
        this.rule = rule;
        this.attempt = facts.firstAttempt();
        this.caller = new CallerSide(actions);
    }

    /**
     * Returns a request that has not begun.
     *
     * @param facts what does not change
     * @param rule decides over further attempts
     * @return the request
     */
    public static RequestExchange of(ExchangeFacts facts, RetryPolicy rule) {
        Objects.requireNonNull(facts, "facts is null");
        Objects.requireNonNull(rule, "rule is null");
        return new RequestExchange(facts, rule);
    }

    /**
     * Takes an event.
     *
     * @param event what happened
     * @param nowMillis the time
     * @return what to do, in order
     */
    public List<ExchangeAction> handle(ExchangeEvent event, long nowMillis) {
        Objects.requireNonNull(event, "event is null");
        actions.clear();
        if (event instanceof ExchangeEvent.Begun) {
            begun();
        } else if (event instanceof ExchangeEvent.Declined declined) {
            onDeclined(declined);
        } else if (event instanceof ExchangeEvent.Chosen chosen) {
            onChosen(chosen, nowMillis);
        } else if (event instanceof ExchangeEvent.NotSent notSent) {
            onNotSent(notSent, nowMillis);
        } else if (event instanceof ExchangeEvent.NoTarget noTarget) {
            onNoTarget(noTarget);
        } else if (event instanceof ExchangeEvent.Received received) {
            onMessage(received.message(), nowMillis);
        } else if (event instanceof ExchangeEvent.ConnectionLost lost) {
            onConnectionLost(lost, nowMillis);
        } else if (event instanceof ExchangeEvent.CallerRead read) {
            onCallerRead(read.bytes());
        } else if (event instanceof ExchangeEvent.CallerGone) {
            onCallerGone();
        } else if (event instanceof ExchangeEvent.DeadlinePassed) {
            onDeadline();
        } else {
            onGivenUp();
        }
        return List.copyOf(actions);
    }

    /**
     * Returns whether nothing more can happen.
     *
     * @return true when the request has been answered and settled
     */
    public boolean ended() {
        return phase == Phase.ENDED;
    }

    private void begun() {
        if (phase == Phase.NEW) {
            phase = Phase.ROUTING;
            if (caller.answered()) {
                settle(Ran.NO);
            } else {
                actions.add(new ExchangeAction.Route(attempt, tried, 0));
            }
        }
    }

    private void onDeclined(ExchangeEvent.Declined declined) {
        if (phase == Phase.NEW) {
            phase = Phase.ENDED;
            if (!caller.answered()) {
                caller.error(
                        new ExchangeAction.AnswerError(
                                declined.code(),
                                declined.code().ran(),
                                declined.retryAfterMillis()));
            }
        }
    }

    // Between the choice and the sending the caller may have been told that its request did not
    // run, or this process may have been paused past the deadline; sending then would make that
    // answer untrue. So the last word before sending is this state's, not the chooser's.
    private void onChosen(ExchangeEvent.Chosen chosen, long nowMillis) {
        if (phase != Phase.ROUTING || !chosen.attempt().equals(attempt)) {
            return;
        }
        if (nowMillis >= facts.deadlineAtMillis()) {
            onDeadline();
            return;
        }
        phase = Phase.SENT;
        tried.add(chosen.target());
        answer = Optional.of(AttemptAnswer.of(attempt, facts));
        actions.add(new ExchangeAction.SendAttempt(attempt, chosen.target()));
    }

    private void onNotSent(ExchangeEvent.NotSent notSent, long nowMillis) {
        if (isCurrent(notSent.attempt())) {
            attemptOver();
            notRun(notSent.code(), NO_HINT, nowMillis);
        }
    }

    private void onNoTarget(ExchangeEvent.NoTarget noTarget) {
        if (phase == Phase.ROUTING && noTarget.attempt().equals(attempt)) {
            ExchangeAction.AnswerError none =
                    new ExchangeAction.AnswerError(
                            noTarget.code(), Ran.NO, noTarget.retryAfterMillis());
            fail(refusal.orElse(none));
        }
    }

    private boolean isCurrent(AttemptId other) {
        return phase == Phase.SENT && other.equals(attempt);
    }

    private void onMessage(Message message, long nowMillis) {
        AttemptId sender = senderOf(message);
        // A frame of an attempt that was given up may arrive at any time after; passed on, the
        // caller would read parts of two answers as one. The attempt's number tells them apart.
        if (!isCurrent(sender)) {
            actions.add(new ExchangeAction.DroppedLate(sender));
            return;
        }
        if (message instanceof Message.Refused refused) {
            onRefused(refused, nowMillis);
        } else if (message instanceof Message.Started started) {
            check(answer.orElseThrow().started(started), nowMillis);
        } else if (message instanceof Message.Chunk chunk) {
            onChunk(chunk, nowMillis);
        } else if (message instanceof Message.Finished finished) {
            onFinished(finished, nowMillis);
        } else if (message instanceof Message.Failed failed) {
            onFailed(failed, nowMillis);
        }
    }

    private static AttemptId senderOf(Message message) {
        if (message instanceof Message.Refused refused) {
            return refused.attempt();
        }
        if (message instanceof Message.Started started) {
            return started.attempt();
        }
        if (message instanceof Message.Chunk chunk) {
            return chunk.attempt();
        }
        if (message instanceof Message.Finished finished) {
            return finished.attempt();
        }
        return ((Message.Failed) message).attempt();
    }

    private void onRefused(Message.Refused refused, long nowMillis) {
        if (answer.orElseThrow().hasStarted()) {
            breach("refused after it had started", nowMillis);
            return;
        }
        attemptOver();
        notRun(refused.code(), refused.retryAfterMillis(), nowMillis);
    }

    private void onChunk(Message.Chunk chunk, long nowMillis) {
        AttemptAnswer current = answer.orElseThrow();
        Optional<String> fault = current.chunk(chunk);
        if (fault.isPresent()) {
            breach(fault.get(), nowMillis);
            return;
        }
        if (caller.answered()) {
            current.discard();
            actions.add(new ExchangeAction.GrantCredit(attempt, chunk.bytes().length));
        } else if (caller.begun() || current.passOn()) {
            passOn(current);
        } else {
            actions.add(new ExchangeAction.GrantCredit(attempt, chunk.bytes().length));
        }
    }

    private void passOn(AttemptAnswer current) {
        caller.head(current.status(), current.headers());
        byte[] bytes = current.takeBuffer();
        if (bytes.length > 0) {
            caller.part(bytes);
        }
    }

    private void onFinished(Message.Finished finished, long nowMillis) {
        AttemptAnswer current = answer.orElseThrow();
        Optional<String> fault = current.finished(finished);
        if (fault.isPresent()) {
            breach(fault.get(), nowMillis);
            return;
        }
        attemptOver();
        if (!caller.answered()) {
            if (caller.begun() || facts.streamed()) {
                passOn(current);
                caller.end();
            } else {
                caller.whole(current.status(), current.headers(), current.takeBuffer());
            }
        }
        settle(Ran.YES);
    }

    private void onFailed(Message.Failed failed, long nowMillis) {
        AttemptAnswer current = answer.orElseThrow();
        attemptOver();
        if (failed.ran() == Ran.NO && !current.hasStarted()) {
            notRun(failed.code(), NO_HINT, nowMillis);
        } else {
            lost(failed.code(), current.hasStarted() ? Ran.YES : failed.ran(), nowMillis);
        }
    }

    private void onConnectionLost(ExchangeEvent.ConnectionLost lost, long nowMillis) {
        if (isCurrent(lost.attempt())) {
            boolean started = answer.orElseThrow().hasStarted();
            attemptOver();
            lost(
                    started ? ErrorCode.ANSWER_CUT : ErrorCode.OUTCOME_UNKNOWN,
                    started ? Ran.YES : Ran.UNKNOWN,
                    nowMillis);
        }
    }

    private void check(Optional<String> fault, long nowMillis) {
        fault.ifPresent(detail -> breach(detail, nowMillis));
    }

    // A hole, a repeat or a wrong count means that bytes were lost or belong elsewhere; the answer
    // can't be made whole, so the attempt ends as if its connection had been cut.
    private void breach(String detail, long nowMillis) {
        actions.add(new ExchangeAction.Breach(ErrorCode.BAD_FRAME, detail));
        actions.add(new ExchangeAction.CancelAttempt(attempt));
        attemptOver();
        lost(ErrorCode.ANSWER_CUT, Ran.YES, nowMillis);
    }

    private void attemptOver() {
        phase = Phase.ROUTING;
        actions.add(new ExchangeAction.AttemptOver(attempt));
    }

    private void notRun(ErrorCode code, long retryAfterMillis, long nowMillis) {
        ExchangeAction.AnswerError last =
                new ExchangeAction.AnswerError(code, Ran.NO, retryAfterMillis);
        ExchangeAction.AnswerError error =
                refusal.filter(first -> RetryPolicy.isCapacityRefusal(first.code()))
                        .filter(first -> !RetryPolicy.isCapacityRefusal(code))
                        .orElse(last);
        refusal = Optional.of(error);
        if (caller.answered()) {
            settle(mayHaveRun ? Ran.UNKNOWN : Ran.NO);
        } else {
            retryOrFail(rule.afterRefusal(code, attempts(), nowMillis, facts.seed()), error);
        }
    }

    private void lost(ErrorCode code, Ran ran, long nowMillis) {
        mayHaveRun = true;
        ExchangeAction.AnswerError error = new ExchangeAction.AnswerError(code, ran, NO_HINT);
        if (caller.answered()) {
            settle(ran);
        } else if (!facts.idempotent() || caller.begun()) {
            // What may have run is never sent again unless the caller said that it may be: a
            // second run would be a second order, charge or report.
            fail(error);
        } else {
            retryOrFail(rule.afterLostAnswer(code, attempts(), nowMillis, facts.seed()), error);
        }
    }

    private int attempts() {
        return attempt.attempt() + 1;
    }

    private void retryOrFail(OptionalLong delayMillis, ExchangeAction.AnswerError error) {
        if (delayMillis.isEmpty()) {
            fail(error);
            return;
        }
        attempt = attempt.next();
        phase = Phase.ROUTING;
        answer = Optional.empty();
        actions.add(new ExchangeAction.Route(attempt, tried, delayMillis.getAsLong()));
    }

    private void onCallerRead(int bytes) {
        if (phase == Phase.SENT && caller.begun()) {
            answer.ifPresent(current -> current.read(bytes));
            actions.add(new ExchangeAction.GrantCredit(attempt, bytes));
        }
    }

    private void onCallerGone() {
        if (!caller.answered()) {
            caller.gone();
            abandon();
        }
    }

    private void onDeadline() {
        if (caller.answered()) {
            return;
        }
        boolean running = phase == Phase.SENT || mayHaveRun;
        ErrorCode code =
                running ? ErrorCode.DEADLINE_WHILE_RUNNING : ErrorCode.DEADLINE_BEFORE_START;
        caller.error(
                new ExchangeAction.AnswerError(
                        code, code.ran(), running ? NO_HINT : DEFAULT_RETRY_AFTER_MILLIS));
        abandon();
    }

    // The caller has its answer, but whether the request ran may still come to be known, and the
    // key's outcome depends on it: the attempt is cancelled and its verdict awaited.
    private void abandon() {
        if (phase == Phase.SENT) {
            actions.add(new ExchangeAction.CancelAttempt(attempt));
        } else if (phase == Phase.ROUTING) {
            settle(mayHaveRun ? Ran.UNKNOWN : Ran.NO);
        }
    }

    private void onGivenUp() {
        if (phase == Phase.SENT) {
            attemptOver();
            mayHaveRun = true;
        }
        if (phase != Phase.ENDED) {
            ErrorCode code = mayHaveRun ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.LEAVING;
            fail(new ExchangeAction.AnswerError(code, code.ran(), DEFAULT_RETRY_AFTER_MILLIS));
        }
    }

    // "Not run" must be true of the request, not only of its last attempt: once an earlier attempt
    // may have run, a refusal of a later one leaves the outcome unknown.
    private void fail(ExchangeAction.AnswerError error) {
        ExchangeAction.AnswerError honest =
                mayHaveRun && error.ran() == Ran.NO
                        ? new ExchangeAction.AnswerError(
                                ErrorCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, NO_HINT)
                        : error;
        if (!caller.answered()) {
            caller.error(honest);
        }
        settle(honest.ran());
    }

    private void settle(Ran ran) {
        if (phase != Phase.ENDED) {
            phase = Phase.ENDED;
            answer = Optional.empty();
            actions.add(new ExchangeAction.Settle(ran));
        }
    }
}
