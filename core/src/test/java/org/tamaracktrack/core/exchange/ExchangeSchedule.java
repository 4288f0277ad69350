package org.tamaracktrack.core.exchange;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.core.retry.RetryBudget;
import org.tamaracktrack.core.retry.RetryPolicy;

/**
 * Simulates one request under a random schedule drawn from a seed: refusals, lost connections,
 * messages that are late, duplicated, lost or of other attempts, a caller that disconnects, and
 * deadlines. Checks after each step what the caller was told against what the targets did.
 */
final class ExchangeSchedule {
    private static final long DEADLINE_MILLIS = 1_000;
    private static final AttemptId FIRST_ATTEMPT = AttemptId.of(IncarnationId.of("entry-1"), 1, 0);

    private final Random random;
    private final boolean idempotent;
    private final RequestExchange exchange;
    private final Map<AttemptId, TargetRun> runs = new HashMap<>();
    private final Set<TargetId> usedTargets = new HashSet<>();
    private final List<Message> undeliveredMessages = new ArrayList<>();
    private final ByteArrayOutputStream receivedBytes = new ByteArrayOutputStream();
    private Optional<AttemptId> currentAttempt = Optional.empty();
    private Optional<ExchangeAction.Route> pendingRoute = Optional.empty();
    private Optional<Ran> settled = Optional.empty();
    private Optional<Object> callerOutcome = Optional.empty();
    private long nowMillis;

    ExchangeSchedule(long seed) {
        this.random = new Random(seed);
        this.idempotent = random.nextBoolean();
        this.exchange =
                RequestExchange.of(
                        new ExchangeParameters(
                                FIRST_ATTEMPT,
                                idempotent,
                                random.nextBoolean(),
                                DEADLINE_MILLIS,
                                64,
                                32,
                                seed),
                        RetryPolicy.of(RetryBudget.of(0)));
    }

    /** What a target did with an attempt. */
    private static final class TargetRun {
        private boolean mayHaveRun = true;
        private boolean open = true;
        private final StringBuilder body = new StringBuilder();
        private final List<Message> pendingMessages = new ArrayList<>();
    }

    /** Runs the schedule and returns how the answer to the caller ended. */
    Optional<Object> run() {
        execute(exchange.handle(new ExchangeEvent.Ready(), nowMillis));
        for (int step = 0; step < 60; step++) {
            nowMillis += random.nextInt(30);
            step();
        }
        execute(exchange.handle(new ExchangeEvent.DeadlinePassed(), DEADLINE_MILLIS + 1));
        execute(exchange.handle(new ExchangeEvent.Abandoned(), DEADLINE_MILLIS + 2));
        pendingRoute.ifPresent(this::choose);
        check(settled.isPresent(), "the exchange was not settled");
        check(exchange.isEnded(), "the exchange has not ended");
        return callerOutcome;
    }

    private void step() {
        switch (random.nextInt(24)) {
            case 0 -> currentAttempt.ifPresent(this::refuse);
            case 1 -> currentAttempt.ifPresent(this::loseConnection);
            case 2 -> currentAttempt.ifPresent(this::fail);
            case 3 -> duplicateMessage();
            case 4 -> deliverUndelivered();
            case 5 -> handle(new ExchangeEvent.CallerRead(1 + random.nextInt(10)));
            case 6 -> {
                if (random.nextInt(6) == 0) {
                    disconnectCaller();
                }
            }
            case 7, 8 -> pendingRoute.ifPresent(this::choose);
            default -> deliver();
        }
    }

    private void disconnectCaller() {
        callerOutcome = Optional.of("gone");
        handle(new ExchangeEvent.CallerDisconnected());
    }

    private void refuse(AttemptId attempt) {
        TargetRun run = runs.get(attempt);
        if (run.open
                && run.pendingMessages.size()
                        == run.body.chars().filter(c -> c == ';').count() + 2) {
            run.mayHaveRun = false;
            run.open = false;
            run.pendingMessages.clear();
            ErrorCode[] codes = {
                ErrorCode.OVERLOADED, ErrorCode.LEAVING, ErrorCode.DEADLINE_BEFORE_START
            };
            receive(new Message.Refused(attempt, codes[random.nextInt(3)], 5, load()));
        }
    }

    private void loseConnection(AttemptId attempt) {
        runs.get(attempt).open = false;
        undeliveredMessages.addAll(runs.get(attempt).pendingMessages);
        handle(new ExchangeEvent.ConnectionLost(attempt));
    }

    private void fail(AttemptId attempt) {
        runs.get(attempt).open = false;
        Ran ran = random.nextBoolean() ? Ran.YES : Ran.UNKNOWN;
        receive(new Message.Failed(attempt, ErrorCode.OUTCOME_UNKNOWN, ran, load()));
    }

    private void duplicateMessage() {
        currentAttempt
                .map(runs::get)
                .filter(run -> run.open && !run.pendingMessages.isEmpty())
                .ifPresent(run -> receive(run.pendingMessages.get(0)));
    }

    private void deliverUndelivered() {
        if (!undeliveredMessages.isEmpty()) {
            receive(undeliveredMessages.remove(random.nextInt(undeliveredMessages.size())));
        }
    }

    private void deliver() {
        currentAttempt
                .map(runs::get)
                .filter(run -> run.open && !run.pendingMessages.isEmpty())
                .ifPresent(
                        run -> {
                            if (random.nextInt(40) == 0) {
                                run.pendingMessages.remove(0);
                            } else {
                                receive(run.pendingMessages.remove(0));
                            }
                        });
    }

    private void receive(Message message) {
        handle(new ExchangeEvent.Received(message));
    }

    private void handle(ExchangeEvent event) {
        execute(exchange.handle(event, nowMillis));
    }

    private void execute(List<ExchangeAction> actions) {
        actions.forEach(this::execute);
    }

    private void execute(ExchangeAction action) {
        if (action instanceof ExchangeAction.Route route) {
            route(route);
        } else if (action instanceof ExchangeAction.SendAttempt send) {
            send(send);
        } else if (action instanceof ExchangeAction.AnswerPart part) {
            check(callerOutcome.isEmpty(), "a part was sent after the end of the answer");
            receivedBytes.writeBytes(part.bytes());
        } else if (action instanceof ExchangeAction.AnswerWhole whole) {
            receivedBytes.writeBytes(whole.body());
            end(whole);
            checkWhole();
        } else if (action instanceof ExchangeAction.AnswerEnd end) {
            end(end);
            checkWhole();
        } else if (action instanceof ExchangeAction.AnswerError error) {
            end(error);
            check(receivedBytes.size() == 0, "an error was sent after a part of the answer");
            check(
                    error.ran() != Ran.NO || nothingRan(),
                    "reported as not run although it may have run: " + error);
        } else if (action instanceof ExchangeAction.CutCaller cut) {
            end(cut);
        } else if (action instanceof ExchangeAction.Settle settle) {
            check(settled.isEmpty(), "the exchange was settled twice");
            settled = Optional.of(settle.ran());
            check(
                    settle.ran() != Ran.NO || nothingRan(),
                    "settled as not run although it may have run");
        }
    }

    private void end(ExchangeAction action) {
        check(callerOutcome.isEmpty(), "second answer to one request: " + action);
        callerOutcome = Optional.of(action);
    }

    private void checkWhole() {
        String text = receivedBytes.toString(StandardCharsets.UTF_8);
        check(
                runs.values().stream().anyMatch(run -> run.body.toString().equals(text)),
                "not the complete answer of one attempt: " + text);
    }

    private boolean nothingRan() {
        return runs.values().stream().noneMatch(run -> run.mayHaveRun);
    }

    private void route(ExchangeAction.Route route) {
        check(
                route.tried().equals(usedTargets),
                "tried " + route.tried() + " instead of " + usedTargets);
        currentAttempt = Optional.empty();
        if (random.nextBoolean()) {
            pendingRoute = Optional.of(route);
        } else {
            choose(route);
        }
    }

    private void choose(ExchangeAction.Route route) {
        pendingRoute = Optional.empty();
        TargetId target = TargetId.of("target-" + route.attempt().attempt());
        if (random.nextInt(10) == 0) {
            handle(new ExchangeEvent.NoTarget(route.attempt(), ErrorCode.NO_TARGET, 10));
        } else {
            handle(new ExchangeEvent.TargetChosen(route.attempt(), target));
        }
    }

    private void send(ExchangeAction.SendAttempt send) {
        check(callerOutcome.isEmpty(), "an attempt was sent after the answer");
        check(idempotent || nothingRan(), "a request that is not idempotent was sent again");
        check(usedTargets.add(send.target()), "two attempts were sent to " + send.target());
        TargetRun run = new TargetRun();
        runs.put(send.attempt(), run);
        currentAttempt = Optional.of(send.attempt());
        prepareMessages(send.attempt(), run);
        if (random.nextInt(10) == 0) {
            run.mayHaveRun = false;
            run.open = false;
            handle(new ExchangeEvent.NotSent(send.attempt(), ErrorCode.TARGET_UNREACHABLE));
        }
    }

    private void prepareMessages(AttemptId attempt, TargetRun run) {
        run.pendingMessages.add(new Message.Started(attempt, 200, Map.of()));
        int chunks = random.nextInt(6);
        for (int sequence = 0; sequence < chunks; sequence++) {
            String text = attempt.attempt() + ":" + sequence + ";";
            run.body.append(text);
            run.pendingMessages.add(new Message.Chunk(attempt, sequence, text.getBytes()));
        }
        run.pendingMessages.add(new Message.Finished(attempt, chunks, 1, 1, 0, load()));
    }

    private static Message.Load load() {
        return new Message.Load(
                TargetId.of("t"), 0, false, 0, 0, Map.of(), List.of(), List.of(), List.of());
    }

    private static void check(boolean condition, String failure) {
        if (!condition) {
            throw new AssertionError(failure);
        }
    }
}
