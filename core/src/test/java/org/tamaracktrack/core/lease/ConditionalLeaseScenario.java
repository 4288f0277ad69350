package org.tamaracktrack.core.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import org.tamaracktrack.core.lease.ConditionalLease.Append;
import org.tamaracktrack.core.lease.ConditionalLease.Contact;
import org.tamaracktrack.core.lease.ConditionalLease.LeaseRecord;
import org.tamaracktrack.core.lease.ConditionalLease.Terms;

/**
 * Simulates processes that compete for a lease in a log, with frozen processes, lost responses,
 * late appends and a log that may be restored from a copy.
 */
final class ConditionalLeaseScenario {
    private static final int PROCESSES = 4;
    private static final long STEP_MILLIS = 20;
    private static final long POLL_INTERVAL_MILLIS = 700;
    private static final long TERMS_PER_ERA = 1_000_000;
    private static final long FIRST_ERA = 1;

    /** A copy is a few seconds old, and a holder writes more than one record a second. */
    private static final int MAXIMUM_RECORDS_LOST = 12;

    private final Random random;
    private final List<LeaseRecord> log = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((first, second) -> Long.compare(first.atMillis, second.atMillis));
    private long nowMillis;
    private long logUnavailableUntilMillis;
    private boolean failuresEnded;
    private final boolean logIsRestored;
    private final boolean clocksRunOn;
    private long logEra = 1;

    private ConditionalLeaseScenario(
            Random random, Terms terms, boolean restores, boolean clocksRunOn) {
        this.random = random;
        this.logIsRestored = restores;
        this.clocksRunOn = clocksRunOn;
        for (int number = 0; number < PROCESSES; number++) {
            processes.add(new Process("process-" + number, terms));
        }
    }

    static ConditionalLeaseScenario of(long seed, Terms terms) {
        return new ConditionalLeaseScenario(new Random(seed), terms, false, false);
    }

    /** Returns a scenario whose log is restored from a copy from time to time. */
    static ConditionalLeaseScenario withRestoredLog(long seed, Terms terms) {
        return new ConditionalLeaseScenario(new Random(seed), terms, true, false);
    }

    /**
     * Returns a scenario whose processes are stopped by signals, which lets their clocks run on.
     */
    static ConditionalLeaseScenario withStoppedProcesses(long seed, Terms terms) {
        return new ConditionalLeaseScenario(new Random(seed), terms, false, true);
    }

    /** A time at which a process considered itself allowed to act as the holder. */
    record HolderAction(String process, long term, long atMillis) {}

    private record Event(long atMillis, Runnable task) {}

    private record Answer(int run, long sentInEra, long era, Runnable task) {}

    private final class Process {
        private final String name;
        private final Terms terms;
        private ConditionalLease lease;
        private int runCount;
        private final FreezeDetector freezeDetector = FreezeDetector.of(0, 0);
        private long totalFrozenMillis;
        private long frozenUntilMillis;
        private long nextPollMillis;
        private boolean callInProgress;

        /** The newest era that a response named; 0 before the first response. */
        private long era;

        Process(String name, Terms terms) {
            this.name = name;
            this.terms = terms;
            this.lease = newLease();
        }

        private ConditionalLease newLease() {
            runCount++;
            Optional<Contact> contact = Optional.of(new Contact(name, "secret"));
            return ConditionalLease.of(
                    name + "-run-" + runCount, Optional.of(name), () -> contact, terms);
        }

        // Appends sent by the previous run may still be written; their responses are dropped.
        void restart() {
            lease = newLease();
            callInProgress = false;
            nextPollMillis = 0;
            era = 0;
        }

        long monotonicMillis() {
            return nowMillis - totalFrozenMillis;
        }

        boolean isFrozen() {
            return nowMillis < frozenUntilMillis;
        }

        Optional<HolderAction> step() {
            if (isFrozen()) {
                totalFrozenMillis += clocksRunOn ? 0 : STEP_MILLIS;
                return Optional.empty();
            }
            if (freezeDetector.detectFreeze(monotonicMillis(), nowMillis)) {
                lease.invalidate();
            }
            if (!callInProgress) {
                startCall();
            }
            OptionalLong term = lease.term(monotonicMillis());
            return term.isEmpty()
                    ? Optional.empty()
                    : Optional.of(
                            new HolderAction(
                                    name, era * TERMS_PER_ERA + term.getAsLong(), nowMillis));
        }

        private void startCall() {
            if (lease.mustRead()
                    || !lease.holds(monotonicMillis()) && monotonicMillis() >= nextPollMillis) {
                nextPollMillis = monotonicMillis() + POLL_INTERVAL_MILLIS;
                read();
                return;
            }
            lease.tick(monotonicMillis()).ifPresent(this::append);
        }

        private void read() {
            callInProgress = true;
            long sentInEra = era;
            schedule(latency(), () -> readAtLog(sentInEra));
        }

        private void readAtLog(long sentInEra) {
            int from = (int) lease.readFrom();
            if (nowMillis < logUnavailableUntilMillis || from > log.size()) {
                answer(sentInEra, () -> {});
                return;
            }
            List<LeaseRecord> records = List.copyOf(log.subList(from, log.size()));
            answer(
                    sentInEra,
                    () -> {
                        long offset = from;
                        for (LeaseRecord content : records) {
                            lease.read(offset++, content, monotonicMillis());
                        }
                        lease.caughtUp(monotonicMillis());
                    });
        }

        private void append(Append append) {
            callInProgress = true;
            long sentInEra = era;
            boolean late = !failuresEnded && random.nextInt(12) == 0;
            boolean lost = late || !failuresEnded && random.nextInt(12) == 0;
            schedule(
                    latency() + (late ? 1_000 + random.nextInt(5_000) : 0),
                    () -> write(append, sentInEra, lost));
            if (lost) {
                schedule(1_500, () -> answer(sentInEra, lease::appendUnanswered));
            }
        }

        private void write(Append append, long sentInEra, boolean lost) {
            if (nowMillis < logUnavailableUntilMillis) {
                answerUnlessLost(lost, sentInEra, lease::appendRejected);
            } else if (log.size() != append.expectedEnd()) {
                answerUnlessLost(lost, sentInEra, lease::appendConflicted);
            } else {
                log.add(append.content());
                long offset = log.size() - 1;
                answerUnlessLost(lost, sentInEra, () -> lease.appended(offset, monotonicMillis()));
            }
        }

        private void answerUnlessLost(boolean lost, long sentInEra, Runnable task) {
            if (!lost) {
                answer(sentInEra, task);
            }
        }

        private void answer(long sentInEra, Runnable task) {
            answer(new Answer(runCount, sentInEra, logEra, task));
        }

        private void answer(Answer answer) {
            schedule(
                    latency(),
                    () -> {
                        if (answer.run() != runCount) {
                            return;
                        }
                        if (isFrozen()) {
                            events.add(new Event(frozenUntilMillis, () -> answer(answer)));
                            return;
                        }
                        if (freezeDetector.detectFreeze(monotonicMillis(), nowMillis)) {
                            lease.invalidate();
                        }
                        callInProgress = false;
                        deliver(answer);
                    });
        }

        // Follows the client of the store: a response of another era than that of the call says
        // nothing about its outcome.
        private void deliver(Answer answer) {
            if (answer.era() > Math.max(FIRST_ERA, era)) {
                lease.logRestored(monotonicMillis());
            }
            era = Math.max(era, answer.era());
            boolean valid =
                    answer.era() == era && (answer.sentInEra() == 0 || answer.sentInEra() == era);
            if (valid) {
                answer.task().run();
            } else {
                lease.appendUnanswered();
            }
        }
    }

    private void schedule(long delayMillis, Runnable task) {
        events.add(new Event(nowMillis + delayMillis, task));
    }

    private long latency() {
        return failuresEnded || random.nextInt(10) > 0
                ? 2 + random.nextInt(5)
                : random.nextInt(400);
    }

    /** Stops injecting failures. */
    void endFailures() {
        failuresEnded = true;
        logUnavailableUntilMillis = 0;
    }

    List<HolderAction> run(long millis) {
        List<HolderAction> actions = new ArrayList<>();
        long untilMillis = nowMillis + millis;
        while (nowMillis < untilMillis) {
            nowMillis += STEP_MILLIS;
            injectFailures();
            while (!events.isEmpty() && events.peek().atMillis <= nowMillis) {
                events.poll().task.run();
            }
            processes.forEach(process -> process.step().ifPresent(actions::add));
        }
        return actions;
    }

    private void injectFailures() {
        if (failuresEnded) {
            return;
        }
        if (random.nextInt(500) == 0) {
            logUnavailableUntilMillis = nowMillis + random.nextInt(6_000);
        }
        if (random.nextInt(300) == 0) {
            Process victim = processes.get(random.nextInt(PROCESSES));
            victim.frozenUntilMillis = nowMillis + 200 + random.nextInt(7_000);
        }
        if (random.nextInt(400) == 0) {
            processes.get(random.nextInt(PROCESSES)).restart();
        }
        if (logIsRestored && random.nextInt(600) == 0) {
            int kept = Math.max(0, log.size() - random.nextInt(MAXIMUM_RECORDS_LOST));
            log.subList(kept, log.size()).clear();
            logEra++;
        }
    }
}
