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

/**
 * Simulates processes that publish counters and a log that loses, duplicates and delays records.
 */
final class ReportScenario {
    private static final String COUNTER = "requests|north|approval|interactive|in_class";
    private static final long STEP_MILLIS = 1_000;

    private final Random random;
    private final List<LogRecord> log = new ArrayList<>();
    private final List<CountersPublished> delayed = new ArrayList<>();
    private final Map<IncarnationId, Process> running = new TreeMap<>();
    private final Map<IncarnationId, CountersPublished> newestByProcess = new HashMap<>();
    private final TreeSet<IncarnationId> crashedProcesses = new TreeSet<>();
    private long nowMillis = 1_000_000;
    private int startedProcesses;

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
        scenario.finish();
        return scenario;
    }

    private void step(boolean outage) {
        nowMillis += STEP_MILLIS;
        if (running.size() < 3) {
            IncarnationId incarnation = IncarnationId.of("process-" + startedProcesses++);
            running.put(incarnation, new Process(incarnation, nowMillis));
        }
        List.copyOf(running.values()).forEach(process -> step(process, outage));
        if (!outage && !delayed.isEmpty() && random.nextInt(3) == 0) {
            append(delayed.remove(random.nextInt(delayed.size())));
        }
    }

    private void step(Process process, boolean outage) {
        process.count += random.nextInt(5);
        int choice = random.nextInt(40);
        if (choice == 0) {
            running.remove(process.incarnation);
            crashedProcesses.add(process.incarnation);
        } else if (choice == 1 && !outage) {
            running.remove(process.incarnation);
            publish(countersRecord(process, true), false, random.nextInt(2));
        } else {
            publish(countersRecord(process, false), outage, random.nextInt(6));
        }
    }

    private CountersPublished countersRecord(Process process, boolean last) {
        return new CountersPublished(
                process.incarnation,
                "entry",
                process.sequence++,
                process.startedAtMillis,
                nowMillis,
                last,
                Map.of(COUNTER, process.count));
    }

    private void publish(CountersPublished counters, boolean lost, int choice) {
        if (lost || choice == 5) {
            return;
        }
        if (choice == 4) {
            delayed.add(counters);
            return;
        }
        append(counters);
        if (choice == 1) {
            delayed.add(counters);
        }
    }

    private void append(CountersPublished counters) {
        log.add(LogRecord.of(log.size(), nowMillis, counters));
        newestByProcess.merge(
                counters.incarnation(),
                counters,
                (current, candidate) ->
                        candidate.sequence() > current.sequence() ? candidate : current);
    }

    /** Lets every running process report again and delivers all delayed records. */
    private void finish() {
        running.values().forEach(process -> append(countersRecord(process, false)));
        delayed.forEach(this::append);
        running.values().forEach(process -> append(countersRecord(process, false)));
    }

    List<LogRecord> log() {
        return List.copyOf(log);
    }

    long nowMillis() {
        return nowMillis;
    }

    /**
     * Returns the sums that the log allows: the newest appended record of each process, added up.
     */
    Map<String, Long> expectedSums() {
        long sum =
                newestByProcess.values().stream()
                        .mapToLong(counters -> counters.counters().get(COUNTER))
                        .sum();
        return newestByProcess.isEmpty() ? Map.of() : Map.of(COUNTER, sum);
    }

    /** Returns the crashed processes that have at least one record in the log. */
    List<IncarnationId> crashedProcesses() {
        return crashedProcesses.stream().filter(newestByProcess::containsKey).toList();
    }
}
