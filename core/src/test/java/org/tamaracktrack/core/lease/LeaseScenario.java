package org.tamaracktrack.core.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

/** Three keepers of one duty before a log with delays, lost answers, outages, and long pauses. */
final class LeaseScenario {
    static final long DURATION_MILLIS = 10_000;
    private static final long STEP_MILLIS = 100;

    private final Random random;
    private final List<LogRecord> log = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
    private long nowMillis;
    private long outUntilMillis;
    private int steps;
    private boolean calm;

    private record Event(long atMillis, Runnable action) {}

    private static final class Process {
        private final IncarnationId id;
        private final LeaseKeeper keeper;
        private int read;
        private long pausedUntilMillis;

        private Process(IncarnationId id, LeaseKeeper keeper) {
            this.id = id;
            this.keeper = keeper;
        }
    }

    private LeaseScenario(long seed) {
        this.random = new Random(seed);
        for (int index = 0; index < 3; index++) {
            IncarnationId id = IncarnationId.of("entry-" + index);
            processes.add(
                    new Process(
                            id,
                            LeaseKeeper.of(
                                    Duty.PLANNER, id, DURATION_MILLIS, random.nextInt(2_000), 0)));
        }
    }

    static LeaseScenario of(long seed) {
        return new LeaseScenario(seed);
    }

    /** No more failures from now on. */
    void calm() {
        calm = true;
        outUntilMillis = 0;
    }

    void run(int count, Consumer<LeaseScenario> check) {
        for (int step = 0; step < count; step++) {
            nowMillis += STEP_MILLIS;
            steps++;
            while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
                events.remove().action().run();
            }
            if (!calm && random.nextInt(400) == 0) {
                outUntilMillis = nowMillis + random.nextInt(30_000);
            }
            processes.forEach(this::step);
            check.accept(this);
        }
    }

    private void step(Process process) {
        if (!calm && random.nextInt(300) == 0) {
            process.pausedUntilMillis = nowMillis + random.nextInt(25_000);
        }
        if (nowMillis < process.pausedUntilMillis) {
            return;
        }
        if (random.nextInt(3) == 0) {
            read(process);
        }
        process.keeper.tick(nowMillis).ifPresent(entry -> send(process, entry));
    }

    private void read(Process process) {
        if (nowMillis < outUntilMillis) {
            return;
        }
        while (process.read < log.size()) {
            process.keeper.handle(log.get(process.read++), nowMillis);
        }
    }

    private void send(Process process, LogEntry entry) {
        long sentAtMillis = nowMillis;
        if (nowMillis < outUntilMillis) {
            process.keeper.failed(nowMillis);
            return;
        }
        long arrivesMillis = nowMillis + (calm ? 50 : random.nextInt(4_000));
        boolean answerLost = !calm && random.nextInt(6) == 0;
        events.add(
                new Event(
                        arrivesMillis,
                        () -> {
                            long offset = append(entry);
                            if (answerLost) {
                                process.keeper.failed(nowMillis);
                            } else {
                                process.keeper.appended(offset, sentAtMillis);
                            }
                        }));
    }

    private long append(LogEntry entry) {
        log.add(LogRecord.of(log.size(), nowMillis, entry));
        return log.size() - 1;
    }

    /** Processes that trust their lease now, those that are paused included. */
    List<IncarnationId> believers() {
        return processes.stream()
                .filter(process -> process.keeper.term(nowMillis).isPresent())
                .map(process -> process.id)
                .toList();
    }

    /** The holder as a reader of the whole log sees it. */
    Optional<IncarnationId> holder() {
        LeaseRegister register = LeaseRegister.empty();
        log.forEach(register::handle);
        return register.inForceAt(Duty.PLANNER, nowMillis).map(Lease::holder);
    }

    /** A reader of the log from an offset on. */
    LeaseRegister readFrom(int offset) {
        LeaseRegister register = LeaseRegister.empty();
        log.stream().skip(offset).forEach(register::handle);
        return register;
    }

    int records() {
        return log.size();
    }
}
