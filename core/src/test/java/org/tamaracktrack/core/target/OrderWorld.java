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
 * One engine, one log and a row of processes that each believe the target to be theirs, under a
 * schedule drawn from a seed: orders and appends are lost, late and doubled, processes are killed
 * and paused between any two steps, and the log goes out and comes back.
 */
final class OrderWorld {
    private static final TargetId TARGET = TargetId.of("t");
    private static final long CAPACITY = 100;
    private static final int MODELS = 8;

    private final Random random;
    private final boolean checksFencing;
    private final FakeEngine engine;
    private final List<LogRecord> log = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final List<Process> processes = new ArrayList<>();
    private long now;
    private long eventNumber;
    private boolean logOut;
    private boolean calm;

    private record Event(long at, long number, Runnable task) {}

    /** One process beside the target; its tasks wait while it is paused and end when it is dead. */
    private final class Process {
        private final IncarnationId self;
        private final long startedAt = moment().wallMillis();
        private final OrderControl control;
        private final Deque<Runnable> waiting = new ArrayDeque<>();
        private int read;
        private int moved;
        private boolean dead;
        private boolean deposed;
        private long pausedUntil;

        Process(int number) {
            self = IncarnationId.of("p" + number);
            control =
                    OrderControl.of(
                            new OrderSettings(
                                    TARGET,
                                    self,
                                    startedAt,
                                    checksFencing,
                                    List.of(
                                            new Configuration.Accelerator(
                                                    FakeEngine.ACCELERATOR, CAPACITY, 0))));
            takeOwnership();
            readLog();
            askInventory();
            want();
        }

        // Runs a step of this process after a delay, or at the end of a pause that comes before it.
        private void later(long delay, Runnable step) {
            after(delay, () -> run(step));
        }

        private void run(Runnable step) {
            if (dead) {
                return;
            }
            if (now < pausedUntil) {
                waiting.add(step);
                return;
            }
            step.run();
        }

        void pause(long millis) {
            pausedUntil = now + millis;
            after(
                    millis,
                    () -> {
                        List<Runnable> late = List.copyOf(waiting);
                        waiting.clear();
                        late.forEach(this::run);
                    });
        }

        private void takeOwnership() {
            if (!deposed && !control.isOwner()) {
                append(
                        new LogEntry.OwnershipTaken(
                                TARGET,
                                self,
                                HostId.of("h"),
                                DataCentreId.of("d"),
                                "a:1",
                                startedAt));
            }
            later(2_000, this::takeOwnership);
        }

        private void append(LogEntry entry) {
            boolean lost = !calm && (logOut || random.nextInt(8) == 0);
            if (!lost) {
                after(delay(2_500), () -> log.add(new LogRecord(log.size(), now, entry)));
            } else if (entry instanceof LogEntry.OrderIntent intent && random.nextBoolean()) {
                later(delay(300), () -> tell(new OrderMessage.NotSent(intent.order())));
            }
        }

        private void readLog() {
            if (!logOut && read < log.size()) {
                LogRecord next = log.get(read++);
                tell(new OrderMessage.RecordRead(next));
            }
            later(1 + random.nextInt(read < log.size() ? 10 : 200), this::readLog);
        }

        private void askInventory() {
            Moment requestedAt = moment();
            after(
                    delay(300),
                    () -> {
                        EngineInventory snapshot = engine.inventory(now);
                        later(
                                delay(300),
                                () -> {
                                    tell(new OrderMessage.InventoryRead(snapshot, requestedAt));
                                    later(50, this::askInventory);
                                });
                    });
        }

        private void want() {
            randomChange().ifPresent(change -> tell(new OrderMessage.Wanted(change)));
            later(20 + random.nextInt(400), this::want);
        }

        private Optional<Change> randomChange() {
            ModelId model = ModelId.of("m" + random.nextInt(MODELS));
            boolean present =
                    control.inventory().stream()
                            .anyMatch(inventory -> !inventory.copiesOf(model).isEmpty());
            long mebibytes = 20 + 10L * (model.value().hashCode() % 3);
            return Optional.of(
                    new Change(
                            present ? OrderKind.UNLOAD_MODEL : OrderKind.LOAD_MODEL,
                            FakeEngine.ACCELERATOR,
                            model,
                            Optional.empty(),
                            "1",
                            mebibytes,
                            "request"));
        }

        private void tell(OrderMessage message) {
            control.handle(message, moment()).forEach(this::carryOut);
        }

        private void carryOut(OrderAction action) {
            if (action instanceof OrderAction.Append append) {
                append(append.entry());
            } else if (action instanceof OrderAction.Deposed) {
                deposed = true;
            } else if (action instanceof OrderAction.Moved) {
                moved++;
            } else if (action instanceof OrderAction.Breach breach) {
                throw breach.failure();
            } else if (action instanceof OrderAction.Contended contended && isOwnerWithoutBreak()) {
                throw contended.failure();
            } else if (action instanceof OrderAction.Send send) {
                // The pause may come between the decision and the last look at the clock.
                later(delay(100), () -> send(send));
            }
        }

        // One that lost the target and took it again may find its memory used by the one between.
        private boolean isOwnerWithoutBreak() {
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
            if (!send.isTimely(moment())) {
                tell(new OrderMessage.NotSent(send.order().orderId()));
                return;
            }
            int copies = calm ? 1 : List.of(0, 1, 1, 1, 2).get(random.nextInt(5));
            for (int copy = 0; copy < copies; copy++) {
                after(delay(9_000), () -> engine.take(send.order(), now));
            }
        }
    }

    private OrderWorld(long seed, boolean checksFencing) {
        this.random = new Random(seed);
        this.checksFencing = checksFencing;
        this.engine = new FakeEngine(CAPACITY, checksFencing, 100 + random.nextInt(3_000));
    }

    static OrderWorld of(long seed, boolean checksFencing) {
        return new OrderWorld(seed, checksFencing);
    }

    private Moment moment() {
        return Moment.of(now, 1_000_000 + now);
    }

    private void after(long delay, Runnable task) {
        events.add(new Event(now + delay, eventNumber++, task));
    }

    private long delay(int longest) {
        boolean slow = !calm && random.nextInt(4) == 0;
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

    private void fault() {
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
            case 3 -> logOut = !logOut;
            default -> {
                // A turn without a fault.
            }
        }
    }

    private void startProcess() {
        processes.add(new Process(processes.size()));
    }

    /** Runs faults for a while, and then a calm time with one fresh process. */
    boolean everOvercommitted() {
        startProcess();
        for (int turn = 0; turn < 12 && !engine.everOvercommitted(); turn++) {
            runUntil(now + 500 + random.nextInt(6_000));
            fault();
        }
        return engine.everOvercommitted();
    }

    /** After the faults, returns whether a fresh process gets an order through. */
    boolean recovers() {
        calm = true;
        logOut = false;
        processes.forEach(process -> process.dead = true);
        startProcess();
        Process last = processes.get(processes.size() - 1);
        runUntil(now + 40_000);
        return last.control.mayOrder() && last.moved > 0;
    }
}
