package org.tamaracktrack.bench.cost;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.function.IntConsumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.tamaracktrack.core.admission.AdmissionAction;
import org.tamaracktrack.core.admission.AdmissionLimits;
import org.tamaracktrack.core.admission.AdmissionMessage;
import org.tamaracktrack.core.admission.AdmissionRequest;
import org.tamaracktrack.core.admission.FairAdmission;
import org.tamaracktrack.core.admission.Need;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.OrderId;
import org.tamaracktrack.core.id.RequestClassId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.memory.MemoryLedger;
import org.tamaracktrack.core.target.EngineInventory;
import org.tamaracktrack.core.target.ResidencyPlanner;
import org.tamaracktrack.core.target.ResidencyView;

/** Prints the elapsed time of admission, memory ledger and residency decisions at several sizes. */
public final class DecisionCosts {
    private static final RequestClassId CLASS = RequestClassId.of("interactive");
    private static final IncarnationId ENTRY = IncarnationId.of("entry");
    private static final AcceleratorId ACCELERATOR = AcceleratorId.of("a0");
    private static final TargetId TARGET = TargetId.of("t0");
    private static final int ROUNDS = 7;
    private static final long WAIT_LIMIT_MILLIS = 1_000_000_000;

    private DecisionCosts() {}

    /**
     * Runs the measurements and prints a row for each decision and size.
     *
     * @param arguments not used
     */
    public static void main(String[] arguments) {
        System.out.printf("%-34s %10s %12s %12s%n", "decision", "size", "median_us", "spread_us");
        List.of(10, 100, 1_000).forEach(DecisionCosts::measureAdmission);
        List.of(10, 100, 1_000).forEach(DecisionCosts::measureTicks);
        List.of(10, 100, 1_000).forEach(DecisionCosts::measureMemoryLedger);
        List.of(26, 260, 1_100).forEach(DecisionCosts::measureResidency);
    }

    private static void measure(
            String name, int size, int decisionsPerRound, IntConsumer decision) {
        List<Double> micros =
                IntStream.range(0, ROUNDS)
                        .mapToObj(
                                round -> {
                                    long startNanos = System.nanoTime();
                                    IntStream.range(0, decisionsPerRound).forEach(decision);
                                    return (System.nanoTime() - startNanos)
                                            / 1_000.0
                                            / decisionsPerRound;
                                })
                        .skip(2)
                        .sorted(Comparator.naturalOrder())
                        .toList();
        System.out.printf(
                "%-34s %10d %12.2f %12.2f%n",
                name,
                size,
                micros.get(micros.size() / 2),
                micros.get(micros.size() - 1) - micros.get(0));
    }

    private static AdmissionRequest admissionRequest(Random random, long number, int accounts) {
        return new AdmissionRequest(
                AttemptId.of(ENTRY, number, 0),
                ClientAccountId.of("account-" + random.nextInt(accounts)),
                CLASS,
                1 + random.nextInt(500),
                0,
                WAIT_LIMIT_MILLIS,
                Optional.empty());
    }

    private static FairAdmission busyAdmission(int accounts, Random random) {
        AdmissionLimits limits =
                new AdmissionLimits(
                        8,
                        Map.of(CLASS, new AdmissionLimits.ClassLimits(1, 100_000)),
                        IntStream.range(0, accounts)
                                .mapToObj(index -> ClientAccountId.of("account-" + index))
                                .collect(
                                        Collectors.toMap(
                                                Function.identity(),
                                                id ->
                                                        new AdmissionLimits.AccountLimits(
                                                                1, 100_000, 100_000))));
        FairAdmission admission = FairAdmission.of(limits);
        IntStream.range(0, 2 * accounts + 8)
                .forEach(
                        index ->
                                admission.handle(
                                        new AdmissionMessage.Arrived(
                                                admissionRequest(random, index, accounts)),
                                        0));
        return admission;
    }

    // Measures one arrival and one end while two requests of each client account are waiting.
    private static void measureAdmission(int accounts) {
        Random random = new Random(7);
        FairAdmission admission = busyAdmission(accounts, random);
        ArrayDeque<AttemptId> running = new ArrayDeque<>();
        IntStream.range(0, 8).forEach(index -> running.add(AttemptId.of(ENTRY, index, 0)));
        long[] nextNumber = {1_000_000};
        measure(
                "arrival and end, by accounts",
                accounts,
                accounts >= 1_000 ? 1_000 : 20_000,
                unused -> {
                    admission.handle(
                            new AdmissionMessage.Arrived(
                                    admissionRequest(random, nextNumber[0]++, accounts)),
                            1);
                    admission
                            .handle(
                                    new AdmissionMessage.Ended(running.poll(), OptionalInt.of(250)),
                                    2)
                            .stream()
                            .filter(action -> action instanceof AdmissionAction.Start)
                            .forEach(action -> running.add(action.request().attempt()));
                });
    }

    private static void measureTicks(int accounts) {
        FairAdmission admission = busyAdmission(accounts, new Random(7));
        measure(
                "tick over waiting requests",
                admission.queued(),
                100,
                unused -> admission.handle(new AdmissionMessage.Tick(), 3));
    }

    private static void measureMemoryLedger(int orders) {
        MemoryLedger ledger = MemoryLedger.empty();
        ledger.updateCommitted(ACCELERATOR, 10_000_000, 0);
        IntStream.range(0, orders)
                .forEach(index -> ledger.reserve(OrderId.of("o" + index), ACCELERATOR, 10));
        OrderId order = OrderId.of("one");
        measure(
                "reserve and release, by orders",
                orders,
                20_000,
                unused -> {
                    ledger.reserve(order, ACCELERATOR, 10);
                    ledger.release(order);
                });
    }

    // A twentieth of the models are resident on and placed on this target; three needs are unmet.
    private static void measureResidency(int models) {
        Map<ModelId, Configuration.Model> configured =
                IntStream.range(0, models)
                        .mapToObj(index -> ModelId.of("m" + index))
                        .collect(
                                Collectors.toMap(
                                        Function.identity(),
                                        id -> new Configuration.Model(id, "1", 100)));
        List<ModelId> ids = configured.keySet().stream().sorted().toList();
        int residentCount = Math.max(1, models / 20);
        ResidencyView view = residencyView(configured, ids, residentCount);
        measure("residency, by models", models, 500, unused -> ResidencyPlanner.decide(view));
    }

    private static ResidencyView residencyView(
            Map<ModelId, Configuration.Model> configured, List<ModelId> ids, int residentCount) {
        List<EngineInventory.ModelState> copies =
                ids.stream()
                        .limit(residentCount)
                        .map(
                                id ->
                                        new EngineInventory.ModelState(
                                                id,
                                                "1",
                                                ACCELERATOR,
                                                100,
                                                EngineInventory.Residence.READY,
                                                List.of()))
                        .toList();
        List<LogEntry.Placement> placements =
                IntStream.range(0, ids.size())
                        .mapToObj(
                                index ->
                                        new LogEntry.Placement(
                                                ids.get(index),
                                                index < residentCount ? TARGET : TargetId.of("t1"),
                                                List.of(),
                                                "home"))
                        .toList();
        Set<Need> unmet =
                ids.stream().skip(residentCount).limit(3).map(Need::of).collect(Collectors.toSet());
        return new ResidencyView(
                TARGET,
                new Configuration(
                        1,
                        new Configuration.WeightStoreLimits(1, 1),
                        1,
                        Map.of(),
                        configured,
                        Map.of(),
                        Map.of(),
                        Map.of(),
                        Map.of()),
                0,
                Optional.of(new LogEntry.PlanPublished(ENTRY, 0, 0, placements)),
                new EngineInventory(
                        1,
                        "serve",
                        List.of(
                                new EngineInventory.AcceleratorState(
                                        ACCELERATOR, 100L * residentCount, 100L * residentCount)),
                        copies,
                        List.of()),
                Map.of(ACCELERATOR, 0L),
                List.of(),
                unmet,
                Set.of(),
                true,
                Map.of());
    }
}
