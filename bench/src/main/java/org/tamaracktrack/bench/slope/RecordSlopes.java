package org.tamaracktrack.bench.slope;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.config.ConfigurationReader;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.RequestClassId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.core.placement.DemandEstimator;
import org.tamaracktrack.core.report.CounterName;
import org.tamaracktrack.core.report.ReportRollUp;
import org.tamaracktrack.core.report.RequestOutcome;
import org.tamaracktrack.link.codec.Codecs;
import org.tamaracktrack.link.codec.ConfigurationDocuments;

/** The size of each message and record, and the time to write and read it. */
final class RecordSlopes {
    private final Table table;

    private RecordSlopes(Table table) {
        this.table = table;
    }

    static void run(Table table) {
        RecordSlopes slopes = new RecordSlopes(table);
        slopes.loads();
        slopes.frames();
        slopes.counters();
        slopes.plans();
        slopes.claims();
        slopes.documents();
    }

    private void loads() {
        table.title("a load report in MessagePack, by models in memory (two adapters each)");
        for (int residents : List.of(2, 8, 16, 32)) {
            Message.LoadReport report = new Message.LoadReport(Fleet.load(1, residents));
            table.row(residents + " models", messagePack(report).length, "on the wire");
        }
    }

    private static byte[] messagePack(Message message) {
        return Codecs.encode(Codecs.messagePack(), message);
    }

    private void frames() {
        table.title("a frame, written and read, by bytes of its body");
        for (int bytes : List.of(64, 2_048, 16_384)) {
            byte[] chunk = messagePack(new Message.Chunk(attempt(), 1, new byte[bytes]));
            table.row("chunk of " + bytes, chunk.length, "on the wire");
            table.row(
                    "chunk of " + bytes + ", written",
                    Cost.of(() -> messagePack(new Message.Chunk(attempt(), 1, new byte[bytes]))));
            table.row(
                    "chunk of " + bytes + ", read",
                    Cost.of(() -> Codecs.decode(Codecs.messagePack(), chunk, Message.class)));
        }
        byte[] submit = messagePack(submit());
        table.row("request of 2,048", submit.length, "on the wire");
        table.row("request of 2,048, written", Cost.of(() -> messagePack(submit())));
        table.row(
                "request of 2,048, read",
                Cost.of(() -> Codecs.decode(Codecs.messagePack(), submit, Message.class)));
        byte[] finished =
                messagePack(new Message.Finished(attempt(), 300, 500, 372, 12, Fleet.load(1, 8)));
        table.row("end of an answer with a load of 8 models", finished.length, "on the wire");
    }

    private static AttemptId attempt() {
        return AttemptId.of(IncarnationId.of("entry-1-0123456789abcdef"), 123_456, (short) 0);
    }

    private static Message.Submit submit() {
        return new Message.Submit(
                attempt(),
                ClientAccountId.of("account-17"),
                Fleet.INTERACTIVE,
                Message.CallKind.MODEL,
                Optional.of(Fleet.model(17)),
                Optional.empty(),
                true,
                800,
                1_900,
                30_000,
                "POST",
                "/v1/chat/completions",
                Map.of("Content-Type", "application/json"),
                new byte[2_048],
                true,
                65_536);
    }

    private void counters() {
        table.title("a counter record, by series");
        for (int series : List.of(100, 1_000, 5_000, 20_000)) {
            LogEntry.CountersPublished record = countersOf(series, 1);
            byte[] json = Codecs.encode(Codecs.json(), record);
            table.row(series + " series", json.length, "as JSON");
            table.row(
                    series + " series, written",
                    Cost.of(() -> Codecs.encode(Codecs.json(), record)));
            table.row(
                    series + " series, read",
                    Cost.of(() -> Codecs.decode(Codecs.json(), json, LogEntry.class)));
            table.row(series + " series, summed and estimated", takenIn(series));
        }
    }

    private static Cost takenIn(int series) {
        List<LogEntry.CountersPublished> records =
                IntStream.range(0, 50).mapToObj(step -> countersOf(series, step)).toList();
        ReportRollUp rollUp = ReportRollUp.empty(180_000);
        DemandEstimator estimator = DemandEstimator.empty();
        long[] offset = {0};
        return Cost.of(
                () -> {
                    long next = offset[0]++;
                    LogEntry.CountersPublished of = records.get((int) (next % records.size()));
                    LogRecord record =
                            LogRecord.of(
                                    next,
                                    next * 100,
                                    new LogEntry.CountersPublished(
                                            of.incarnation(),
                                            of.source(),
                                            next,
                                            0,
                                            next * 100,
                                            false,
                                            of.counters()));
                    rollUp.handle(record);
                    estimator.handle(record);
                    return record;
                });
    }

    private static LogEntry.CountersPublished countersOf(int series, int step) {
        Map<String, Long> counters = new HashMap<>();
        for (int index = 0; index < series; index++) {
            counters.put(counter(index), 1_000L * step + index);
        }
        return new LogEntry.CountersPublished(
                IncarnationId.of("entry-1"), "entry", step, 0, step * 10_000L, false, counters);
    }

    private static String counter(int index) {
        List<RequestOutcome> outcomes =
                List.of(
                        RequestOutcome.OFFERED,
                        RequestOutcome.IN_CLASS,
                        RequestOutcome.LATE,
                        RequestOutcome.UNKNOWN);
        return new CounterName.Requests(
                        ClientAccountId.of("account-" + index / 400),
                        Fleet.model(index / 4 % 100).value(),
                        RequestClassId.of("interactive"),
                        outcomes.get(index % 4))
                .text();
    }

    private void plans() {
        table.title("a plan, by copies");
        for (Fleet fleet : List.of(new Fleet(8, 26), new Fleet(100, 184), new Fleet(600, 1_100))) {
            LogEntry.PlanPublished plan =
                    new LogEntry.PlanPublished(
                            IncarnationId.of("entry-1"),
                            1,
                            1,
                            fleet.layout(fleet.configuration()).placements());
            byte[] json = Codecs.encode(Codecs.json(), plan);
            table.row(plan.placements().size() + " copies", json.length, "as JSON");
            table.row(
                    plan.placements().size() + " copies, read",
                    Cost.of(() -> Codecs.decode(Codecs.json(), json, LogEntry.class)));
        }
    }

    private void claims() {
        table.title("a group of claims, by keys");
        String hash = "0123456789abcdef".repeat(4);
        for (int keys : List.of(1, 10, 100)) {
            LogEntry.ClaimsTaken group =
                    new LogEntry.ClaimsTaken(
                            IncarnationId.of("entry-1"),
                            IntStream.range(0, keys)
                                    .mapToObj(
                                            key ->
                                                    new LogEntry.Claim(
                                                            ClientAccountId.of("account-1"),
                                                            hash,
                                                            hash,
                                                            key))
                                    .toList());
            table.row(keys + " keys", Codecs.encode(Codecs.json(), group).length, "as JSON");
        }
    }

    private void documents() {
        table.title("a configuration document, by models (two adapters each) and targets");
        for (Fleet fleet :
                List.of(
                        new Fleet(8, 26),
                        new Fleet(60, 110),
                        new Fleet(300, 550),
                        new Fleet(600, 1_100))) {
            String json = ConfigurationDocuments.canonicalJson(tree(fleet));
            String size = fleet.models() + " models, " + fleet.targets() + " targets";
            table.row(size, json.length(), "as JSON");
            table.row(
                    size + ", checked and expanded",
                    Cost.of(
                            () ->
                                    ConfigurationReader.read(
                                            ConfigurationDocuments.parseJson(json))));
        }
    }

    private static Map<String, Object> tree(Fleet fleet) {
        Configuration configuration = fleet.configuration();
        Map<String, Object> tree = new LinkedHashMap<>();
        tree.put("format", 1);
        tree.put("moveCost", 1);
        tree.put("idempotencyWindowMillis", 600_000);
        tree.put("weightStore", Map.of("loadsPerSecond", 1.4, "concurrentLoads", 11));
        tree.put(
                "classes",
                Map.of(
                        "interactive",
                        Map.of(
                                "firstTokenMillis", 1_900,
                                "betweenTokensMillis", 58,
                                "totalMillis", 30_000,
                                "weight", 4,
                                "queueLimit", 64)));
        tree.put(
                "models",
                named(
                        configuration.models().values(),
                        one -> one.id().value(),
                        one ->
                                Map.of(
                                        "version",
                                        one.version(),
                                        "memoryMebibytes",
                                        one.memoryMebibytes())));
        tree.put(
                "adapters",
                named(
                        configuration.adapters().values(),
                        one -> one.id().value(),
                        one ->
                                Map.of(
                                        "base",
                                        one.base().value(),
                                        "version",
                                        one.version(),
                                        "memoryMebibytes",
                                        one.memoryMebibytes())));
        tree.put(
                "targets",
                named(
                        configuration.targets().values(),
                        one -> one.id().value(),
                        RecordSlopes::target));
        return tree;
    }

    private static Map<String, Object> target(Configuration.Target target) {
        Map<String, Object> tree = new LinkedHashMap<>();
        tree.put("kind", "engine");
        tree.put("host", target.host().value());
        tree.put("dataCentre", target.dataCentre().value());
        tree.put("endpoint", "127.0.0.1:9000");
        tree.put("concurrency", target.concurrency());
        tree.put("checksFencing", true);
        tree.put(
                "accelerators",
                named(
                        target.accelerators(),
                        one -> one.id().value(),
                        one ->
                                Map.of(
                                        "memoryMebibytes",
                                        one.memoryMebibytes(),
                                        "cacheMebibytes",
                                        one.cacheMebibytes())));
        return tree;
    }

    private static <T> Map<String, Object> named(
            Collection<T> all, Function<T, String> name, Function<T, Map<String, Object>> tree) {
        return all.stream().collect(Collectors.toMap(name, tree));
    }
}
