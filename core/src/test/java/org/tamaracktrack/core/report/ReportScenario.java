package org.tamaracktrack.core.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.log.LogEntry.CountersPublished;
import org.tamaracktrack.core.log.LogRecord;

/** Processes that count, and a log that loses, doubles and delays their records. */
final class ReportScenario {
    private static final String COUNTER = "requests|north|approval|interactive|in_class";
    private static final long STEP_MILLIS = 1_000;

    private final Random random;
    private final List<LogRecord> log = new ArrayList<>();
    private final List<CountersPublished> delayed = new ArrayList<>();
    private final Map<IncarnationId, Process> running = new TreeMap<>();
    private final Map<IncarnationId, CountersPublished> best = new HashMap<>();
    private final TreeSet<IncarnationId> crashed = new TreeSet<>();
    private long nowMillis = 1_000_000;
    private int started;

    private static final class Process {
        private final IncarnationId incarnation;
        private final long startedAtMillis;
        private long sequence;
        private long count;

        private Process(IncarnationId incarnation, long startedAtMillis) {
            this.incarnation = incarnation;
            this.startedAtMillis = startedAtMillis;
        }
    }

    private ReportScenario(long seed) {
        this.random = new Random(seed);
    }

    static ReportScenario run(long seed, int steps) {
        ReportScenario scenario = new ReportScenario(seed);
        for (int step = 0; step < steps; step++) {
            scenario.step(step % 20 > 16);
        }
        scenario.settle();
        return scenario;
    }

    private void step(boolean outage) {
        nowMillis += STEP_MILLIS;
        if (running.size() < 3) {
            IncarnationId incarnation = IncarnationId.of("process-" + started++);
            running.put(incarnation, new Process(incarnation, nowMillis));
        }
        List.copyOf(running.values()).forEach(process -> step(process, outage));
        if (!outage && !delayed.isEmpty() && random.nextInt(3) == 0) {
            append(delayed.remove(random.nextInt(delayed.size())));
        }
    }

    private void step(Process process, boolean outage) {
        process.count += random.nextInt(5);
        int fate = random.nextInt(40);
        if (fate == 0) {
            running.remove(process.incarnation);
            crashed.add(process.incarnation);
        } else if (fate == 1 && !outage) {
            running.remove(process.incarnation);
            publish(take(process, true), false, random.nextInt(2));
        } else {
            publish(take(process, false), outage, random.nextInt(6));
        }
    }

    private CountersPublished take(Process process, boolean last) {
        return new CountersPublished(
                process.incarnation,
                "entry",
                process.sequence++,
                process.startedAtMillis,
                nowMillis,
                last,
                Map.of(COUNTER, process.count));
    }

    private void publish(CountersPublished counters, boolean lost, int fate) {
        if (lost || fate == 5) {
            return;
        }
        if (fate == 4) {
            delayed.add(counters);
            return;
        }
        append(counters);
        if (fate == 1) {
            delayed.add(counters);
        }
    }

    private void append(CountersPublished counters) {
        log.add(LogRecord.of(log.size(), nowMillis, counters));
        best.merge(
                counters.incarnation(),
                counters,
                (old, now) -> now.sequence() > old.sequence() ? now : old);
    }

    /** Every process that runs reports once more, and late records arrive. */
    private void settle() {
        running.values().forEach(process -> append(take(process, false)));
        delayed.forEach(this::append);
        running.values().forEach(process -> append(take(process, false)));
    }

    List<LogRecord> log() {
        return List.copyOf(log);
    }

    long nowMillis() {
        return nowMillis;
    }

    /** What the log can know: of each process, what its newest written record says. */
    Map<String, Long> knownSums() {
        long sum = best.values().stream().mapToLong(one -> one.counters().get(COUNTER)).sum();
        return best.isEmpty() ? Map.of() : Map.of(COUNTER, sum);
    }

    /** Processes that crashed after the log had heard of them. */
    List<IncarnationId> crashed() {
        return crashed.stream().filter(best::containsKey).toList();
    }
}
