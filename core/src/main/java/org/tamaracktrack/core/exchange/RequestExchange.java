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
 * The state machine of one request. The caller gets exactly one answer. An attempt is followed by
 * another only if it certainly did not run or if the request is idempotent.
 */
public final class RequestExchange {
    private static final long NO_RETRY_AFTER = -1;
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    private final ExchangeParameters parameters;
    private final RetryPolicy retryRule;
    private final Set<TargetId> triedTargets = new TreeSet<>();
    private final List<ExchangeAction> actions = new ArrayList<>();
    private final CallerResponse response;
    private AttemptId attempt;
    private Phase phase = Phase.NEW;
    private Optional<AttemptAnswer> answer = Optional.empty();
    private Optional<ExchangeAction.AnswerError> reportedRefusal = Optional.empty();
    private boolean mayHaveRun;

    private enum Phase {
        NEW,
        ROUTING,
        SENT,
        ENDED
    }

    private RequestExchange(ExchangeParameters parameters, RetryPolicy retryRule) {
        this.parameters = parameters;
        this.retryRule = retryRule;
        this.attempt = parameters.firstAttempt();
        this.response = new CallerResponse(actions);
    }

    /**
     * Returns the exchange of a request that has not been sent.
     *
     * @param parameters the properties of the request
     * @param retryRule decides about further attempts
     * @return the exchange
     */
    public static RequestExchange of(ExchangeParameters parameters, RetryPolicy retryRule) {
        Objects.requireNonNull(parameters, "parameters is null");
        Objects.requireNonNull(retryRule, "retryRule is null");
        return new RequestExchange(parameters, retryRule);
    }

    /**
     * Handles an event.
     *
     * @param event the event
     * @param nowMillis the monotonic time in milliseconds
     * @return the actions to take, in order
     */
    public List<ExchangeAction> handle(ExchangeEvent event, long nowMillis) {
        Objects.requireNonNull(event, "event is null");
        actions.clear();
        if (event instanceof ExchangeEvent.Ready) {
            onReady();
        } else if (event instanceof ExchangeEvent.Declined declined) {
            onDeclined(declined);
        } else if (event instanceof ExchangeEvent.TargetChosen chosen) {
            onTargetChosen(chosen, nowMillis);
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
        } else if (event instanceof ExchangeEvent.CallerDisconnected) {
            onCallerDisconnected();
        } else if (event instanceof ExchangeEvent.DeadlinePassed) {
            onDeadline();
        } else {
            onAbandoned();
        }
        return List.copyOf(actions);
    }

    /**
     * Returns whether the exchange has ended.
     *
     * @return true when the request has been answered and settled
     */
    public boolean isEnded() {
        return phase == Phase.ENDED;
    }

    private void onReady() {
        if (phase == Phase.NEW) {
            phase = Phase.ROUTING;
            if (response.isAnswered()) {
                settle(Ran.NO);
            } else {
                actions.add(new ExchangeAction.Route(attempt, triedTargets, 0));
            }
        }
    }

    private void onDeclined(ExchangeEvent.Declined declined) {
        if (phase == Phase.NEW) {
            phase = Phase.ENDED;
            if (!response.isAnswered()) {
                response.sendError(
                        new ExchangeAction.AnswerError(
                                declined.code(),
                                declined.code().ran(),
                                declined.retryAfterMillis()));
            }
        }
    }

    // Between the choice of a target and the sending, the caller may have been told that its
    // request did not run, or this process may have been paused past the deadline. Sending the
    // request then would make that answer wrong, so the state is checked again here.
    private void onTargetChosen(ExchangeEvent.TargetChosen chosen, long nowMillis) {
        if (phase != Phase.ROUTING || !chosen.attempt().equals(attempt)) {
            return;
        }
        if (nowMillis >= parameters.deadlineAtMillis()) {
            onDeadline();
            return;
        }
        phase = Phase.SENT;
        triedTargets.add(chosen.target());
        answer = Optional.of(AttemptAnswer.of(attempt, parameters));
        actions.add(new ExchangeAction.SendAttempt(attempt, chosen.target()));
    }

    private void onNotSent(ExchangeEvent.NotSent notSent, long nowMillis) {
        if (isCurrent(notSent.attempt())) {
            endAttempt();
            onNotRun(notSent.code(), NO_RETRY_AFTER, nowMillis);
        }
    }

    private void onNoTarget(ExchangeEvent.NoTarget noTarget) {
        if (phase == Phase.ROUTING && noTarget.attempt().equals(attempt)) {
            ExchangeAction.AnswerError error =
                    new ExchangeAction.AnswerError(
                            noTarget.code(), Ran.NO, noTarget.retryAfterMillis());
            fail(reportedRefusal.orElse(error));
        }
    }

    private boolean isCurrent(AttemptId other) {
        return phase == Phase.SENT && other.equals(attempt);
    }

    private void onMessage(Message message, long nowMillis) {
        AttemptId sender = senderOf(message);
        // Messages of an abandoned attempt may arrive at any time. If they were forwarded, the
        // caller would read parts of two answers as one. The attempt number distinguishes them.
        if (!isCurrent(sender)) {
            actions.add(new ExchangeAction.LateMessageDropped(sender));
            return;
        }
        if (message instanceof Message.Refused refused) {
            onRefused(refused, nowMillis);
        } else if (message instanceof Message.Started started) {
            reportFault(answer.orElseThrow().onStarted(started), nowMillis);
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
            reportBreach("attempt refused after its answer had started", nowMillis);
            return;
        }
        endAttempt();
        onNotRun(refused.code(), refused.retryAfterMillis(), nowMillis);
    }

    private void onChunk(Message.Chunk chunk, long nowMillis) {
        AttemptAnswer current = answer.orElseThrow();
        Optional<String> fault = current.onChunk(chunk);
        if (fault.isPresent()) {
            reportBreach(fault.get(), nowMillis);
            return;
        }
        if (response.isAnswered()) {
            current.discardBuffer();
            actions.add(new ExchangeAction.GrantCredit(attempt, chunk.bytes().length));
        } else if (response.hasStarted() || current.shouldForward()) {
            forward(current);
        } else {
            actions.add(new ExchangeAction.GrantCredit(attempt, chunk.bytes().length));
        }
    }

    private void forward(AttemptAnswer current) {
        response.sendHead(current.status(), current.headers());
        byte[] bytes = current.drainBuffer();
        if (bytes.length > 0) {
            response.sendPart(bytes);
        }
    }

    private void onFinished(Message.Finished finished, long nowMillis) {
        AttemptAnswer current = answer.orElseThrow();
        Optional<String> fault = current.onFinished(finished);
        if (fault.isPresent()) {
            reportBreach(fault.get(), nowMillis);
            return;
        }
        endAttempt();
        if (!response.isAnswered()) {
            if (response.hasStarted() || parameters.streamed()) {
                forward(current);
                response.sendEnd();
            } else {
                response.sendWhole(current.status(), current.headers(), current.drainBuffer());
            }
        }
        settle(Ran.YES);
    }

    private void onFailed(Message.Failed failed, long nowMillis) {
        AttemptAnswer current = answer.orElseThrow();
        endAttempt();
        if (failed.ran() == Ran.NO && !current.hasStarted()) {
            onNotRun(failed.code(), NO_RETRY_AFTER, nowMillis);
        } else {
            onAttemptLost(failed.code(), current.hasStarted() ? Ran.YES : failed.ran(), nowMillis);
        }
    }

    private void onConnectionLost(ExchangeEvent.ConnectionLost lost, long nowMillis) {
        if (isCurrent(lost.attempt())) {
            boolean started = answer.orElseThrow().hasStarted();
            endAttempt();
            onAttemptLost(
                    started ? ErrorCode.ANSWER_CUT : ErrorCode.OUTCOME_UNKNOWN,
                    started ? Ran.YES : Ran.UNKNOWN,
                    nowMillis);
        }
    }

    private void reportFault(Optional<String> fault, long nowMillis) {
        fault.ifPresent(detail -> reportBreach(detail, nowMillis));
    }

    // A missing, repeated or miscounted chunk means that bytes were lost or belong to another
    // answer. The answer cannot be completed, so the attempt ends as if its connection had been
    // closed.
    private void reportBreach(String detail, long nowMillis) {
        actions.add(new ExchangeAction.Breach(ErrorCode.BAD_FRAME, detail));
        actions.add(new ExchangeAction.CancelAttempt(attempt));
        endAttempt();
        onAttemptLost(ErrorCode.ANSWER_CUT, Ran.YES, nowMillis);
    }

    private void endAttempt() {
        phase = Phase.ROUTING;
        actions.add(new ExchangeAction.AttemptEnded(attempt));
    }

    private void onNotRun(ErrorCode code, long retryAfterMillis, long nowMillis) {
        ExchangeAction.AnswerError last =
                new ExchangeAction.AnswerError(code, Ran.NO, retryAfterMillis);
        ExchangeAction.AnswerError error =
                reportedRefusal
                        .filter(first -> RetryPolicy.isCapacityRefusal(first.code()))
                        .filter(first -> !RetryPolicy.isCapacityRefusal(code))
                        .orElse(last);
        reportedRefusal = Optional.of(error);
        if (response.isAnswered()) {
            settle(mayHaveRun ? Ran.UNKNOWN : Ran.NO);
        } else {
            retryOrFail(
                    retryRule.afterRefusal(code, attemptCount(), nowMillis, parameters.seed()),
                    error);
        }
    }

    private void onAttemptLost(ErrorCode code, Ran ran, long nowMillis) {
        mayHaveRun = true;
        ExchangeAction.AnswerError error =
                new ExchangeAction.AnswerError(code, ran, NO_RETRY_AFTER);
        if (response.isAnswered()) {
            settle(ran);
        } else if (!parameters.idempotent() || response.hasStarted()) {
            // A request that may have run is sent again only if its caller declared it idempotent:
            // a second run could be a second order, charge or report.
            fail(error);
        } else {
            retryOrFail(
                    retryRule.afterLostAnswer(code, attemptCount(), nowMillis, parameters.seed()),
                    error);
        }
    }

    private int attemptCount() {
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
        actions.add(new ExchangeAction.Route(attempt, triedTargets, delayMillis.getAsLong()));
    }

    private void onCallerRead(int bytes) {
        if (phase == Phase.SENT && response.hasStarted()) {
            answer.ifPresent(current -> current.callerRead(bytes));
            actions.add(new ExchangeAction.GrantCredit(attempt, bytes));
        }
    }

    private void onCallerDisconnected() {
        if (!response.isAnswered()) {
            response.callerDisconnected();
            abandon();
        }
    }

    private void onDeadline() {
        if (response.isAnswered()) {
            return;
        }
        boolean running = phase == Phase.SENT || mayHaveRun;
        ErrorCode code =
                running ? ErrorCode.DEADLINE_WHILE_RUNNING : ErrorCode.DEADLINE_BEFORE_START;
        response.sendError(
                new ExchangeAction.AnswerError(
                        code, code.ran(), running ? NO_RETRY_AFTER : DEFAULT_RETRY_AFTER_MILLIS));
        abandon();
    }

    // The caller has its answer, but the outcome of the idempotency key depends on whether the
    // request ran, which may still become known. The attempt is therefore cancelled and its outcome
    // awaited.
    private void abandon() {
        if (phase == Phase.SENT) {
            actions.add(new ExchangeAction.CancelAttempt(attempt));
        } else if (phase == Phase.ROUTING) {
            settle(mayHaveRun ? Ran.UNKNOWN : Ran.NO);
        }
    }

    private void onAbandoned() {
        if (phase == Phase.SENT) {
            endAttempt();
            mayHaveRun = true;
        }
        if (phase != Phase.ENDED) {
            ErrorCode code = mayHaveRun ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.LEAVING;
            fail(new ExchangeAction.AnswerError(code, code.ran(), DEFAULT_RETRY_AFTER_MILLIS));
        }
    }

    // "Not run" must hold for the request, not only for its last attempt: if an earlier attempt may
    // have run, the refusal of a later one leaves the outcome unknown.
    private void fail(ExchangeAction.AnswerError error) {
        ExchangeAction.AnswerError reported =
                mayHaveRun && error.ran() == Ran.NO
                        ? new ExchangeAction.AnswerError(
                                ErrorCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, NO_RETRY_AFTER)
                        : error;
        if (!response.isAnswered()) {
            response.sendError(reported);
        }
        settle(reported.ran());
    }

    private void settle(Ran ran) {
        if (phase != Phase.ENDED) {
            phase = Phase.ENDED;
            answer = Optional.empty();
            actions.add(new ExchangeAction.Settle(ran));
        }
    }
}
