package org.tamaracktrack.bench.slope;

import java.util.List;
import java.util.stream.IntStream;
import org.tamaracktrack.core.claim.ClaimRegister;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

/** The heap that control state holds, by its size. */
final class MemorySlopes {
    private static final int KEYS_PER_RECORD = 100;

    private final Table table;

    private MemorySlopes(Table table) {
        this.table = table;
    }

    static void run(Table table) {
        MemorySlopes slopes = new MemorySlopes(table);
        slopes.routing();
        slopes.configuration();
        slopes.plan();
        slopes.claims();
    }

    private void routing() {
        table.title("the routing table with its hints, by targets (4 models each)");
        for (int targets : List.of(50, 150, 600)) {
            table.row(
                    targets + " targets",
                    Cost.retainedBytes(() -> DecisionSlopes.routingTable(targets, 4)),
                    "held, the configuration of 1,100 models included");
        }
    }

    private void configuration() {
        table.title("the configuration in force, by models and targets");
        for (Fleet fleet : List.of(new Fleet(8, 26), new Fleet(300, 550), new Fleet(600, 1_100))) {
            table.row(
                    fleet.models() + " models, " + fleet.targets() + " targets",
                    Cost.retainedBytes(fleet::configuration),
                    "held");
        }
    }

    private void plan() {
        table.title("the plan in force, by copies");
        for (Fleet fleet : List.of(new Fleet(8, 26), new Fleet(100, 184), new Fleet(600, 1_100))) {
            var configuration = fleet.configuration();
            table.row(
                    fleet.models() + " models, " + fleet.targets() + " targets",
                    Cost.retainedBytes(() -> fleet.layout(configuration).placements()),
                    "held");
        }
    }

    private void claims() {
        table.title("claims of idempotency keys, by keys in the window");
        for (int keys : List.of(10_000, 50_000, 200_000)) {
            long bytes = Cost.retainedBytes(() -> claims(keys));
            table.row(keys + " keys", bytes, "held, " + bytes / keys + " B for each");
        }
    }

    private static ClaimRegister claims(int keys) {
        ClaimRegister register = ClaimRegister.empty(3_600_000);
        register.startAt(0);
        for (int record = 0; record < keys / KEYS_PER_RECORD; record++) {
            int first = record * KEYS_PER_RECORD;
            List<LogEntry.Claim> claims =
                    IntStream.range(first, first + KEYS_PER_RECORD)
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
