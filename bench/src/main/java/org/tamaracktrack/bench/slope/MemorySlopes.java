package org.tamaracktrack.bench.slope;

import java.util.List;
import java.util.stream.IntStream;
import org.tamaracktrack.core.claim.ClaimRegister;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

/** Measures the heap memory that control state retains at several sizes. */
final class MemorySlopes {
    private static final int KEYS_PER_RECORD = 100;

    private final CostTable table;

    private MemorySlopes(CostTable table) {
        this.table = table;
    }

    static void run(CostTable table) {
        MemorySlopes slopes = new MemorySlopes(table);
        slopes.measureRoutingTable();
        slopes.measureConfiguration();
        slopes.measurePlan();
        slopes.measureClaims();
    }

    private void measureRoutingTable() {
        table.printTitle("the routing table with its hints, by targets (4 models each)");
        for (int targets : List.of(50, 150, 600)) {
            table.printRow(
                    targets + " targets",
                    CallCost.retainedBytes(() -> DecisionSlopes.routingTable(targets, 4)),
                    "held, the configuration of 1,100 models included");
        }
    }

    private void measureConfiguration() {
        table.printTitle("the configuration in force, by models and targets");
        for (Fleet fleet : List.of(new Fleet(8, 26), new Fleet(300, 550), new Fleet(600, 1_100))) {
            table.printRow(
                    fleet.models() + " models, " + fleet.targets() + " targets",
                    CallCost.retainedBytes(fleet::configuration),
                    "held");
        }
    }

    private void measurePlan() {
        table.printTitle("the plan in force, by copies");
        for (Fleet fleet : List.of(new Fleet(8, 26), new Fleet(100, 184), new Fleet(600, 1_100))) {
            var configuration = fleet.configuration();
            table.printRow(
                    fleet.models() + " models, " + fleet.targets() + " targets",
                    CallCost.retainedBytes(() -> fleet.layout(configuration).placements()),
                    "held");
        }
    }

    private void measureClaims() {
        table.printTitle("claims of idempotency keys, by keys in the window");
        for (int keys : List.of(10_000, 50_000, 200_000)) {
            long bytes = CallCost.retainedBytes(() -> claimRegister(keys));
            table.printRow(keys + " keys", bytes, "held, " + bytes / keys + " B for each");
        }
    }

    private static ClaimRegister claimRegister(int keys) {
        ClaimRegister register = ClaimRegister.empty(3_600_000);
        register.startAt(0);
        for (int record = 0; record < keys / KEYS_PER_RECORD; record++) {
            int firstKey = record * KEYS_PER_RECORD;
            List<LogEntry.Claim> claims =
                    IntStream.range(firstKey, firstKey + KEYS_PER_RECORD)
                            .mapToObj(MemorySlopes::claim)
                            .toList();
            register.handle(
                    LogRecord.of(
                            record,
                            record,
                            new LogEntry.ClaimsTaken(IncarnationId.of("entry-1"), claims)));
        }
        return register;
    }

    private static LogEntry.Claim claim(int key) {
        String hash = String.format("%064x", key);
        return new LogEntry.Claim(
                ClientAccountId.of("account-" + key % 40), hash, String.format("%064x", -key), key);
    }
}
