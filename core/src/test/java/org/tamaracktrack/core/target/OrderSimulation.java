package org.tamaracktrack.core.target;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

/**
 * Simulates one engine, one log and several processes that each try to own the target, with a
 * schedule drawn from a seed. Orders and appends are lost, delayed and duplicated, processes are
 * killed and paused between any two steps, and the log becomes unavailable and available again.
 */
final class OrderSimulation {
    private static final TargetId TARGET = TargetId.of("t");
    private static final long CAPACITY = 100;
    private static final int MODELS = 8;

    private final Random random;
    private final boolean checksFencing;
    private final SimulatedEngine engine;
    private final List<LogRecord> log = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final List<Process> processes = new ArrayList<>();
    private long now;
    private long eventNumber;
    private boolean logUnavailable;
    private boolean faultFree;

    private record Event(long at, long number, Runnable task) {}

    /**
     * A process beside the target. Its steps are delayed while it is paused and dropped when dead.
     */
    private final class Process {
        private final IncarnationId self;
        private final long startedAt = hostTime().wallMillis();
        private final OrderController controller;
        private final Deque<Runnable> delayedSteps = new ArrayDeque<>();
        private int nextOffset;
        private int appliedChanges;
        private boolean dead;
        private boolean deposed;
        private long pausedUntil;

        Process(int number) {
            self = IncarnationId.of("p" + number);
            controller =
                    OrderController.of(
                            new OrderSettings(
                                    TARGET,
                                    self,
                                    startedAt,
                                    checksFencing,
                                    List.of(
                                            new Configuration.Accelerator(
                                                    SimulatedEngine.ACCELERATOR, CAPACITY, 0))));
            takeOwnership();
            readLog();
            requestInventory();
            requestChange();
        }

        // Runs a step of this process after a delay, or at the end of a pause that starts before.
        private void scheduleStep(long delay, Runnable step) {
            schedule(delay, () -> run(step));
        }

        private void run(Runnable step) {
            if (dead) {
                return;
            }
            if (now < pausedUntil) {
                delayedSteps.add(step);
                return;
            }
            step.run();
        }

        void pause(long millis) {
            pausedUntil = now + millis;
            schedule(
                    millis,
                    () -> {
                        List<Runnable> delayed = List.copyOf(delayedSteps);
                        delayedSteps.clear();
                        delayed.forEach(this::run);
                    });
        }

        private void takeOwnership() {
            if (!deposed && !controller.isOwner()) {
                append(
                        new LogEntry.OwnershipTaken(
                                TARGET,
                                self,
                                HostId.of("h"),
                                DataCentreId.of("d"),
                                "a:1",
                                startedAt));
            }
            scheduleStep(2_000, this::takeOwnership);
        }

        private void append(LogEntry entry) {
            boolean lost = !faultFree && (logUnavailable || random.nextInt(8) == 0);
            if (!lost) {
                schedule(delay(2_500), () -> log.add(new LogRecord(log.size(), now, entry)));
            } else if (entry instanceof LogEntry.OrderIntent intent && random.nextBoolean()) {
                scheduleStep(delay(300), () -> deliver(new OrderMessage.NotSent(intent.order())));
            }
        }

        private void readLog() {
            if (!logUnavailable && nextOffset < log.size()) {
                LogRecord next = log.get(nextOffset++);
                deliver(new OrderMessage.RecordRead(next));
            }
            scheduleStep(1 + random.nextInt(nextOffset < log.size() ? 10 : 200), this::readLog);
        }

        private void requestInventory() {
            HostTime requestedAt = hostTime();
            schedule(
                    delay(300),
                    () -> {
                        EngineInventory snapshot = engine.inventory(now);
                        scheduleStep(
                                delay(300),
                                () -> {
                                    deliver(new OrderMessage.InventoryRead(snapshot, requestedAt));
                                    scheduleStep(50, this::requestInventory);
                                });
                    });
        }

        private void requestChange() {
            randomChange().ifPresent(change -> deliver(new OrderMessage.ChangeRequested(change)));
            scheduleStep(20 + random.nextInt(400), this::requestChange);
        }

        private Optional<ResidencyChange> randomChange() {
            ModelId model = ModelId.of("m" + random.nextInt(MODELS));
            boolean present =
                    controller.inventory().stream()
                            .anyMatch(inventory -> !inventory.copiesOf(model).isEmpty());
            long mebibytes = 20 + 10L * (model.value().hashCode() % 3);
            return Optional.of(
                    new ResidencyChange(
                            present ? OrderKind.UNLOAD_MODEL : OrderKind.LOAD_MODEL,
                            SimulatedEngine.ACCELERATOR,
                            model,
                            Optional.empty(),
                            "1",
                            mebibytes,
                            "request"));
        }

        private void deliver(OrderMessage message) {
            controller.handle(message, hostTime()).forEach(this::carryOut);
        }

        private void carryOut(OrderAction action) {
            if (action instanceof OrderAction.Append append) {
                append(append.entry());
            } else if (action instanceof OrderAction.Deposed) {
                deposed = true;
            } else if (action instanceof OrderAction.Applied) {
                appliedChanges++;
            } else if (action instanceof OrderAction.Breach breach) {
                throw breach.failure();
            } else if (action instanceof OrderAction.Contended contended
                    && hasOwnedWithoutInterruption()) {
                throw contended.failure();
            } else if (action instanceof OrderAction.Send send) {
                // The process may be paused between the decision and the check of the clocks before
                // sending.
                scheduleStep(delay(100), () -> send(send));
            }
        }

        // Memory reserved by a process that lost and regained ownership may be used by the owner in
        // between.
        private boolean hasOwnedWithoutInterruption() {
            List<IncarnationId> owners =
                    log.stream()
                            .filter(record -> record.entry() instanceof LogEntry.OwnershipTaken)
                            .map(record -> ((LogEntry.OwnershipTaken) record.entry()).owner())
                            .toList();
            int first = owners.indexOf(self);
            return first >= 0
                    && owners.subList(first, owners.size()).stream().allMatch(self::equals);
        }

        private void send(OrderAction.Send send) {
            if (!send.isTimely(hostTime())) {
                deliver(new OrderMessage.NotSent(send.order().orderId()));
                return;
            }
            int copies = faultFree ? 1 : List.of(0, 1, 1, 1, 2).get(random.nextInt(5));
            for (int copy = 0; copy < copies; copy++) {
                schedule(delay(9_000), () -> engine.receive(send.order(), now));
            }
        }
    }

    private OrderSimulation(long seed, boolean checksFencing) {
        this.random = new Random(seed);
        this.checksFencing = checksFencing;
        this.engine = new SimulatedEngine(CAPACITY, checksFencing, 100 + random.nextInt(3_000));
    }

    static OrderSimulation of(long seed, boolean checksFencing) {
        return new OrderSimulation(seed, checksFencing);
    }

    private HostTime hostTime() {
        return HostTime.of(now, 1_000_000 + now);
    }

    private void schedule(long delay, Runnable task) {
        events.add(new Event(now + delay, eventNumber++, task));
    }

    private long delay(int longest) {
        boolean slow = !faultFree && random.nextInt(4) == 0;
        return 1 + random.nextInt(slow ? longest : 20);
    }

    private void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at() <= end && !engine.everOvercommitted()) {
            Event event = events.poll();
            now = event.at();
            event.task().run();
        }
        now = end;
    }

    private void injectFault() {
        Process last = processes.get(processes.size() - 1);
        switch (random.nextInt(5)) {
            case 0 -> {
                last.dead = true;
                startProcess();
            }
            case 1 -> {
                last.pause(500 + random.nextInt(20_000));
                startProcess();
            }
            case 2 -> last.pause(500 + random.nextInt(8_000));
            case 3 -> logUnavailable = !logUnavailable;
            default -> {
                // No fault in this turn.
            }
        }
    }

    private void startProcess() {
        processes.add(new Process(processes.size()));
    }

    /** Runs the schedule with faults and returns whether memory was ever overcommitted. */
    boolean overcommitsUnderFaults() {
        startProcess();
        for (int turn = 0; turn < 12 && !engine.everOvercommitted(); turn++) {
            runUntil(now + 500 + random.nextInt(6_000));
            injectFault();
        }
        return engine.everOvercommitted();
    }

    /** Ends the faults and returns whether an order of a new process takes effect. */
    boolean ordersAgainAfterFaults() {
        faultFree = true;
        logUnavailable = false;
        processes.forEach(process -> process.dead = true);
        startProcess();
        Process last = processes.get(processes.size() - 1);
        runUntil(now + 40_000);
        return last.controller.mayOrder() && last.appliedChanges > 0;
    }
}
