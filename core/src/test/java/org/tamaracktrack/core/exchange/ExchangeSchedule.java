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
 * One request under a schedule drawn from a seed: refusals, lost connections, frames that are late,
 * doubled, lost or of other attempts, a caller that goes away, deadlines. Checks after each step
 * what the caller was told against what the targets did.
 */
final class ExchangeSchedule {
    private static final long DEADLINE = 1_000;
    private static final AttemptId FIRST = AttemptId.of(IncarnationId.of("entry-1"), 1, 0);

    private final Random random;
    private final boolean idempotent;
    private final RequestExchange exchange;
    private final Map<AttemptId, Run> runs = new HashMap<>();
    private final Set<TargetId> used = new HashSet<>();
    private final List<Message> wire = new ArrayList<>();
    private final ByteArrayOutputStream caller = new ByteArrayOutputStream();
    private Optional<AttemptId> current = Optional.empty();
    private Optional<ExchangeAction.Route> choosing = Optional.empty();
    private Optional<Ran> settled = Optional.empty();
    private Optional<Object> ending = Optional.empty();
    private long now;

    ExchangeSchedule(long seed) {
        this.random = new Random(seed);
        this.idempotent = random.nextBoolean();
        this.exchange =
                RequestExchange.of(
                        new ExchangeFacts(
                                FIRST, idempotent, random.nextBoolean(), DEADLINE, 64, 32, seed),
                        RetryPolicy.of(RetryBudget.of(0)));
    }

    /** What a target did with an attempt. */
    private static final class Run {
        private boolean mayHaveRun = true;
        private boolean open = true;
        private final StringBuilder body = new StringBuilder();
        private final List<Message> script = new ArrayList<>();
    }

    /** Runs the schedule and returns how the caller's answer ended. */
    Optional<Object> run() {
        carryOut(exchange.handle(new ExchangeEvent.Begun(), now));
        for (int step = 0; step < 60; step++) {
            now += random.nextInt(30);
            step();
        }
        carryOut(exchange.handle(new ExchangeEvent.DeadlinePassed(), DEADLINE + 1));
        carryOut(exchange.handle(new ExchangeEvent.GivenUp(), DEADLINE + 2));
        choosing.ifPresent(this::choose);
        check(settled.isPresent(), "not settled");
        check(exchange.ended(), "not ended");
        return ending;
    }

    private void step() {
        switch (random.nextInt(24)) {
            case 0 -> current.ifPresent(this::refuse);
            case 1 -> current.ifPresent(this::lose);
            case 2 -> current.ifPresent(this::fail);
            case 3 -> duplicate();
            case 4 -> stray();
            case 5 -> handle(new ExchangeEvent.CallerRead(1 + random.nextInt(10)));
            case 6 -> {
                if (random.nextInt(6) == 0) {
                    gone();
                }
            }
            case 7, 8 -> choosing.ifPresent(this::choose);
            default -> deliver();
        }
    }

    private void gone() {
        ending = Optional.of("gone");
        handle(new ExchangeEvent.CallerGone());
    }

    private void refuse(AttemptId attempt) {
        Run run = runs.get(attempt);
        if (run.open && run.script.size() == run.body.chars().filter(c -> c == ';').count() + 2) {
            run.mayHaveRun = false;
            run.open = false;
            run.script.clear();
            ErrorCode[] codes = {
                ErrorCode.OVERLOADED, ErrorCode.LEAVING, ErrorCode.DEADLINE_BEFORE_START
            };
            receive(new Message.Refused(attempt, codes[random.nextInt(3)], 5, load()));
        }
    }

    private void lose(AttemptId attempt) {
        runs.get(attempt).open = false;
        wire.addAll(runs.get(attempt).script);
        handle(new ExchangeEvent.ConnectionLost(attempt));
    }

    private void fail(AttemptId attempt) {
        runs.get(attempt).open = false;
        Ran ran = random.nextBoolean() ? Ran.YES : Ran.UNKNOWN;
        receive(new Message.Failed(attempt, ErrorCode.OUTCOME_UNKNOWN, ran, load()));
    }

    private void duplicate() {
        current.map(runs::get)
                .filter(run -> run.open && !run.script.isEmpty())
                .ifPresent(run -> receive(run.script.get(0)));
    }

    private void stray() {
        if (!wire.isEmpty()) {
            receive(wire.remove(random.nextInt(wire.size())));
        }
    }

    private void deliver() {
        current.map(runs::get)
                .filter(run -> run.open && !run.script.isEmpty())
                .ifPresent(
                        run -> {
                            if (random.nextInt(40) == 0) {
                                run.script.remove(0);
                            } else {
                                receive(run.script.remove(0));
                            }
                        });
    }

    private void receive(Message message) {
        handle(new ExchangeEvent.Received(message));
    }

    private void handle(ExchangeEvent event) {
        carryOut(exchange.handle(event, now));
    }

    private void carryOut(List<ExchangeAction> actions) {
        actions.forEach(this::carryOut);
    }

    private void carryOut(ExchangeAction action) {
        if (action instanceof ExchangeAction.Route route) {
            route(route);
        } else if (action instanceof ExchangeAction.SendAttempt send) {
            send(send);
        } else if (action instanceof ExchangeAction.AnswerPart part) {
            check(ending.isEmpty(), "a part after the end");
            caller.writeBytes(part.bytes());
        } else if (action instanceof ExchangeAction.AnswerWhole whole) {
            caller.writeBytes(whole.body());
            end(whole);
            checkWhole();
        } else if (action instanceof ExchangeAction.AnswerEnd end) {
            end(end);
            checkWhole();
        } else if (action instanceof ExchangeAction.AnswerError error) {
            end(error);
            check(caller.size() == 0, "an error after a part");
            check(error.ran() != Ran.NO || nothingRan(), "not run, but it may have: " + error);
        } else if (action instanceof ExchangeAction.CutCaller cut) {
            end(cut);
        } else if (action instanceof ExchangeAction.Settle settle) {
            check(settled.isEmpty(), "settled twice");
            settled = Optional.of(settle.ran());
            check(settle.ran() != Ran.NO || nothingRan(), "settled as not run, but it may have");
        }
    }

    private void end(ExchangeAction action) {
        check(ending.isEmpty(), "a second answer: " + action);
        ending = Optional.of(action);
    }

    private void checkWhole() {
        String text = caller.toString(StandardCharsets.UTF_8);
        check(
                runs.values().stream().anyMatch(run -> run.body.toString().equals(text)),
                "not one attempt's whole answer: " + text);
    }

    private boolean nothingRan() {
        return runs.values().stream().noneMatch(run -> run.mayHaveRun);
    }

    private void route(ExchangeAction.Route route) {
        check(route.tried().equals(used), "tried " + route.tried() + " instead of " + used);
        current = Optional.empty();
        if (random.nextBoolean()) {
            choosing = Optional.of(route);
        } else {
            choose(route);
        }
    }

    private void choose(ExchangeAction.Route route) {
        choosing = Optional.empty();
        TargetId target = TargetId.of("target-" + route.attempt().attempt());
        if (random.nextInt(10) == 0) {
            handle(new ExchangeEvent.NoTarget(route.attempt(), ErrorCode.NO_TARGET, 10));
        } else {
            handle(new ExchangeEvent.Chosen(route.attempt(), target));
        }
    }

    private void send(ExchangeAction.SendAttempt send) {
        check(ending.isEmpty(), "sent after the answer");
        check(idempotent || nothingRan(), "a request that may not be repeated was sent again");
        check(used.add(send.target()), "sent twice to " + send.target());
        Run run = new Run();
        runs.put(send.attempt(), run);
        current = Optional.of(send.attempt());
        script(send.attempt(), run);
        if (random.nextInt(10) == 0) {
            run.mayHaveRun = false;
            run.open = false;
            handle(new ExchangeEvent.NotSent(send.attempt(), ErrorCode.TARGET_UNREACHABLE));
        }
    }

    private void script(AttemptId attempt, Run run) {
        run.script.add(new Message.Started(attempt, 200, Map.of()));
        int chunks = random.nextInt(6);
        for (int sequence = 0; sequence < chunks; sequence++) {
            String text = attempt.attempt() + ":" + sequence + ";";
            run.body.append(text);
            run.script.add(new Message.Chunk(attempt, sequence, text.getBytes()));
        }
        run.script.add(new Message.Finished(attempt, chunks, 1, 1, 0, load()));
    }

    private static Message.Load load() {
        return new Message.Load(
                TargetId.of("t"), 0, false, 0, 0, Map.of(), List.of(), List.of(), List.of());
    }

    private static void check(boolean holds, String failure) {
        if (!holds) {
            throw new AssertionError(failure);
        }
    }
}
