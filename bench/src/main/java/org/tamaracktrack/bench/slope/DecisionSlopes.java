package org.tamaracktrack.bench.slope;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.tamaracktrack.core.admission.AdmissionLimits;
import org.tamaracktrack.core.admission.AdmissionMessage;
import org.tamaracktrack.core.admission.AdmissionRequest;
import org.tamaracktrack.core.admission.FairAdmission;
import org.tamaracktrack.core.admission.Need;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.OrderId;
import org.tamaracktrack.core.log.LogEntry.Placement;
import org.tamaracktrack.core.memory.MemoryLedger;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.core.placement.Layout;
import org.tamaracktrack.core.placement.PlacementKind;
import org.tamaracktrack.core.placement.Planner;
import org.tamaracktrack.core.placement.PlanningView;
import org.tamaracktrack.core.routing.EstimatedWaitPolicy;
import org.tamaracktrack.core.routing.RoutingQuery;
import org.tamaracktrack.core.routing.RoutingTable;

/** Measures the processor time of each decision at several sizes. */
final class DecisionSlopes {
    private final CostTable table;

    private DecisionSlopes(CostTable table) {
        this.table = table;
    }

    static void run(CostTable table) {
        DecisionSlopes slopes = new DecisionSlopes(table);
        slopes.measurePlanner();
        slopes.measureRouting();
        slopes.measureAdmission();
        slopes.measureMemoryLedger();
    }

    private void measurePlanner() {
        table.printTitle("one planner run, nothing to change, by models x targets");
        for (Fleet fleet :
                List.of(
                        new Fleet(8, 26),
                        new Fleet(100, 184),
                        new Fleet(300, 550),
                        new Fleet(600, 1_100))) {
            Configuration configuration = fleet.configuration();
            Layout layout = fleet.layout(configuration);
            List<Placement> plan = layout.placements();
            PlanningView view = fleet.view(configuration, layout, 1_000);
            Planner planner = Planner.of(PlacementKind.HYSTERESIS.policy().orElseThrow(), 15_000);
            table.printRow(
                    fleet.models() + " x " + fleet.targets() + ", " + plan.size() + " copies",
                    CallCost.measure(() -> planner.next(plan, view)));
        }
    }

    private void measureRouting() {
        table.printTitle("one routing decision, by copies of the model (600 targets known)");
        for (int copies : List.of(1, 4, 16, 64)) {
            RoutingTable targets = routingTable(600, copies);
            EstimatedWaitPolicy policy = EstimatedWaitPolicy.of();
            RoutingQuery query =
                    RoutingQuery.model(
                            Fleet.INTERACTIVE,
                            Fleet.model(0),
                            Optional.empty(),
                            OptionalLong.of(42));
            AtomicLong seed = new AtomicLong();
            table.printRow(
                    copies + " copies",
                    CallCost.measure(
                            () ->
                                    policy.choose(
                                            query,
                                            targets.candidates(
                                                    query, target -> true, Set.of(), 100),
                                            seed.incrementAndGet())));
        }
    }

    static RoutingTable routingTable(int targets, int copies) {
        RoutingTable table = RoutingTable.empty(DataCentreId.of("dc-0"));
        table.applyConfiguration(new Fleet(targets, 1_100).configuration());
        for (int index = 0; index < targets; index++) {
            table.recordLoad(Fleet.loadReport(index < copies ? 0 : index, 4), 0);
            if (index < copies) {
                table.recordLoad(loadWithModelsOfFirstTarget(index), 0);
            }
        }
        return table;
    }

    private static Message.Load loadWithModelsOfFirstTarget(int index) {
        var load = Fleet.loadReport(0, 4);
        return new Message.Load(
                Fleet.target(index),
                load.sequence(),
                load.leaving(),
                load.running(),
                load.queued(),
                load.waitMillis(),
                load.resident(),
                load.adapters(),
                load.loading());
    }

    private void measureAdmission() {
        table.printTitle("one arrival and one end at a busy target, by requests waiting");
        for (int waiting : List.of(10, 100, 1_000, 10_000)) {
            FairAdmission admission = FairAdmission.of(limits());
            AtomicLong nextNumber = new AtomicLong();
            admission.handle(new AdmissionMessage.ReadyChanged(Set.of(need())), 0);
            for (int index = 0; index < waiting + 32; index++) {
                admission.handle(
                        new AdmissionMessage.Arrived(
                                admissionRequest(nextNumber.getAndIncrement())),
                        0);
            }
            AtomicLong nextEnded = new AtomicLong();
            table.printRow(
                    waiting + " waiting",
                    CallCost.measure(
                            () -> {
                                admission.handle(
                                        new AdmissionMessage.Arrived(
                                                admissionRequest(nextNumber.getAndIncrement())),
                                        1);
                                return admission.handle(
                                        new AdmissionMessage.Ended(
                                                attempt(nextEnded.getAndIncrement()),
                                                OptionalInt.of(300)),
                                        1);
                            }));
        }
    }

    private static AdmissionLimits limits() {
        Map<ClientAccountId, AdmissionLimits.AccountLimits> accounts = new HashMap<>();
        for (int index = 0; index < 40; index++) {
            accounts.put(account(index), new AdmissionLimits.AccountLimits(1, 1_000, 100_000));
        }
        return new AdmissionLimits(
                32,
                Map.of(Fleet.INTERACTIVE, new AdmissionLimits.ClassLimits(4, 1_000_000)),
                accounts);
    }

    private static ClientAccountId account(long index) {
        return ClientAccountId.of("account-" + index % 40);
    }

    private static AttemptId attempt(long number) {
        return AttemptId.of(IncarnationId.of("entry-1"), number, (short) 0);
    }

    private static Need need() {
        return Need.of(Fleet.model(0));
    }

    private static AdmissionRequest admissionRequest(long number) {
        return new AdmissionRequest(
                attempt(number),
                account(number),
                Fleet.INTERACTIVE,
                300,
                0,
                1_000_000_000,
                Optional.of(need()));
    }

    private void measureMemoryLedger() {
        table.printTitle(
                "one reservation and its release in the memory ledger, by open reservations");
        for (int openReservations : List.of(1, 8, 64)) {
            MemoryLedger ledger = MemoryLedger.empty();
            AcceleratorId accelerator = AcceleratorId.of("a0");
            ledger.updateCommitted(accelerator, 1_000_000, 0);
            for (int index = 0; index < openReservations; index++) {
                ledger.reserve(OrderId.of("open-" + index), accelerator, 10);
            }
            OrderId order = OrderId.of("order");
            table.printRow(
                    openReservations + " open",
                    CallCost.measure(
                            () -> {
                                boolean reserved = ledger.reserve(order, accelerator, 10);
                                ledger.release(order);
                                return reserved;
                            }));
        }
    }
}
