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

/**
 * Simulates three processes that compete for one duty, with delayed appends, lost responses,
 * outages of the log and long pauses of processes.
 */
final class LeaseManagerScenario {
    static final long LEASE_DURATION_MILLIS = 10_000;
    private static final long STEP_MILLIS = 100;

    private final Random random;
    private final List<LogRecord> log = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
    private long nowMillis;
    private long logUnavailableUntilMillis;
    private int steps;
    private boolean failuresEnded;

    private record Event(long atMillis, Runnable action) {}

    private static final class Process {
        private final IncarnationId id;
        private final LeaseManager manager;
        private int nextOffset;
        private long pausedUntilMillis;

        private Process(IncarnationId id, LeaseManager keeper) {
            this.id = id;
            this.manager = keeper;
        }
    }

    private LeaseManagerScenario(long seed) {
        this.random = new Random(seed);
        for (int index = 0; index < 3; index++) {
            IncarnationId id = IncarnationId.of("entry-" + index);
            processes.add(
                    new Process(
                            id,
                            LeaseManager.of(
                                    Duty.PLANNER,
                                    id,
                                    LEASE_DURATION_MILLIS,
                                    random.nextInt(2_000),
                                    0)));
        }
    }

    static LeaseManagerScenario of(long seed) {
        return new LeaseManagerScenario(seed);
    }

    /** Stops injecting failures. */
    void endFailures() {
        failuresEnded = true;
        logUnavailableUntilMillis = 0;
    }

    void run(int count, Consumer<LeaseManagerScenario> check) {
        for (int step = 0; step < count; step++) {
            nowMillis += STEP_MILLIS;
            steps++;
            while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
                events.remove().action().run();
            }
            if (!failuresEnded && random.nextInt(400) == 0) {
                logUnavailableUntilMillis = nowMillis + random.nextInt(30_000);
            }
            processes.forEach(this::step);
            check.accept(this);
        }
    }

    private void step(Process process) {
        if (!failuresEnded && random.nextInt(300) == 0) {
            process.pausedUntilMillis = nowMillis + random.nextInt(25_000);
        }
        if (nowMillis < process.pausedUntilMillis) {
            return;
        }
        if (random.nextInt(3) == 0) {
            read(process);
        }
        process.manager.tick(nowMillis).ifPresent(entry -> send(process, entry));
    }

    private void read(Process process) {
        if (nowMillis < logUnavailableUntilMillis) {
            return;
        }
        while (process.nextOffset < log.size()) {
            process.manager.handle(log.get(process.nextOffset++), nowMillis);
        }
    }

    private void send(Process process, LogEntry entry) {
        long sentAtMillis = nowMillis;
        if (nowMillis < logUnavailableUntilMillis) {
            process.manager.appendFailed(nowMillis);
            return;
        }
        long arrivalMillis = nowMillis + (failuresEnded ? 50 : random.nextInt(4_000));
        boolean responseLost = !failuresEnded && random.nextInt(6) == 0;
        events.add(
                new Event(
                        arrivalMillis,
                        () -> {
                            long offset = append(entry);
                            if (responseLost) {
                                process.manager.appendFailed(nowMillis);
                            } else {
                                process.manager.appended(offset, sentAtMillis);
                            }
                        }));
    }

    private long append(LogEntry entry) {
        log.add(LogRecord.of(log.size(), nowMillis, entry));
        return log.size() - 1;
    }

    /**
     * Returns the processes whose lease is valid now by their own view, including those that are
     * paused.
     */
    List<IncarnationId> processesWithValidLease() {
        return processes.stream()
                .filter(process -> process.manager.term(nowMillis).isPresent())
                .map(process -> process.id)
                .toList();
    }

    /** Returns the holder that a reader of the whole log derives. */
    Optional<IncarnationId> holder() {
        LeaseRegister register = LeaseRegister.empty();
        log.forEach(register::handle);
        return register.inForceAt(Duty.PLANNER, nowMillis).map(Lease::holder);
    }

    /** Returns the register of a reader that starts at an offset. */
    LeaseRegister readFrom(int offset) {
        LeaseRegister register = LeaseRegister.empty();
        log.stream().skip(offset).forEach(register::handle);
        return register;
    }

    int recordCount() {
        return log.size();
    }
}
