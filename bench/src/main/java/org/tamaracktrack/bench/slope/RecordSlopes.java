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

/** Measures the encoded size of messages and records, and the time to encode and decode them. */
final class RecordSlopes {
    private final CostTable table;

    private RecordSlopes(CostTable table) {
        this.table = table;
    }

    static void run(CostTable table) {
        RecordSlopes slopes = new RecordSlopes(table);
        slopes.measureLoadReports();
        slopes.measureFrames();
        slopes.measureCounters();
        slopes.measurePlans();
        slopes.measureClaims();
        slopes.measureDocuments();
    }

    private void measureLoadReports() {
        table.printTitle("a load report in MessagePack, by models in memory (two adapters each)");
        for (int residents : List.of(2, 8, 16, 32)) {
            Message.LoadReport report = new Message.LoadReport(Fleet.loadReport(1, residents));
            table.printRow(residents + " models", messagePack(report).length, "on the wire");
        }
    }

    private static byte[] messagePack(Message message) {
        return Codecs.encode(Codecs.messagePack(), message);
    }

    private void measureFrames() {
        table.printTitle("a frame, written and read, by bytes of its body");
        for (int bytes : List.of(64, 2_048, 16_384)) {
            byte[] chunk = messagePack(new Message.Chunk(attempt(), 1, new byte[bytes]));
            table.printRow("chunk of " + bytes, chunk.length, "on the wire");
            table.printRow(
                    "chunk of " + bytes + ", written",
                    CallCost.measure(
                            () -> messagePack(new Message.Chunk(attempt(), 1, new byte[bytes]))));
            table.printRow(
                    "chunk of " + bytes + ", read",
                    CallCost.measure(
                            () -> Codecs.decode(Codecs.messagePack(), chunk, Message.class)));
        }
        byte[] submit = messagePack(submit());
        table.printRow("request of 2,048", submit.length, "on the wire");
        table.printRow("request of 2,048, written", CallCost.measure(() -> messagePack(submit())));
        table.printRow(
                "request of 2,048, read",
                CallCost.measure(() -> Codecs.decode(Codecs.messagePack(), submit, Message.class)));
        byte[] finished =
                messagePack(
                        new Message.Finished(attempt(), 300, 500, 372, 12, Fleet.loadReport(1, 8)));
        table.printRow("end of an answer with a load of 8 models", finished.length, "on the wire");
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

    private void measureCounters() {
        table.printTitle("a counter record, by series");
        for (int series : List.of(100, 1_000, 5_000, 20_000)) {
            LogEntry.CountersPublished record = countersRecord(series, 1);
            byte[] json = Codecs.encode(Codecs.json(), record);
            table.printRow(series + " series", json.length, "as JSON");
            table.printRow(
                    series + " series, written",
                    CallCost.measure(() -> Codecs.encode(Codecs.json(), record)));
            table.printRow(
                    series + " series, read",
                    CallCost.measure(() -> Codecs.decode(Codecs.json(), json, LogEntry.class)));
            table.printRow(series + " series, summed and estimated", measureHandling(series));
        }
    }

    private static CallCost measureHandling(int series) {
        List<LogEntry.CountersPublished> records =
                IntStream.range(0, 50).mapToObj(step -> countersRecord(series, step)).toList();
        ReportRollUp rollUp = ReportRollUp.empty(180_000);
        DemandEstimator estimator = DemandEstimator.empty();
        long[] offset = {0};
        return CallCost.measure(
                () -> {
                    long sequence = offset[0]++;
                    LogEntry.CountersPublished prepared =
                            records.get((int) (sequence % records.size()));
                    LogRecord record =
                            LogRecord.of(
                                    sequence,
                                    sequence * 100,
                                    new LogEntry.CountersPublished(
                                            prepared.incarnation(),
                                            prepared.source(),
                                            sequence,
                                            0,
                                            sequence * 100,
                                            false,
                                            prepared.counters()));
                    rollUp.handle(record);
                    estimator.handle(record);
                    return record;
                });
    }

    private static LogEntry.CountersPublished countersRecord(int series, int step) {
        Map<String, Long> counters = new HashMap<>();
        for (int index = 0; index < series; index++) {
            counters.put(counterName(index), 1_000L * step + index);
        }
        return new LogEntry.CountersPublished(
                IncarnationId.of("entry-1"), "entry", step, 0, step * 10_000L, false, counters);
    }

    private static String counterName(int index) {
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

    private void measurePlans() {
        table.printTitle("a plan, by copies");
        for (Fleet fleet : List.of(new Fleet(8, 26), new Fleet(100, 184), new Fleet(600, 1_100))) {
            LogEntry.PlanPublished plan =
                    new LogEntry.PlanPublished(
                            IncarnationId.of("entry-1"),
                            1,
                            1,
                            fleet.layout(fleet.configuration()).placements());
            byte[] json = Codecs.encode(Codecs.json(), plan);
            table.printRow(plan.placements().size() + " copies", json.length, "as JSON");
            table.printRow(
                    plan.placements().size() + " copies, read",
                    CallCost.measure(() -> Codecs.decode(Codecs.json(), json, LogEntry.class)));
        }
    }

    private void measureClaims() {
        table.printTitle("a group of claims, by keys");
        String hash = "0123456789abcdef".repeat(4);
        for (int keys : List.of(1, 10, 100)) {
            LogEntry.ClaimsTaken claimsTaken =
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
            table.printRow(
                    keys + " keys", Codecs.encode(Codecs.json(), claimsTaken).length, "as JSON");
        }
    }

    private void measureDocuments() {
        table.printTitle("a configuration document, by models (two adapters each) and targets");
        for (Fleet fleet :
                List.of(
                        new Fleet(8, 26),
                        new Fleet(60, 110),
                        new Fleet(300, 550),
                        new Fleet(600, 1_100))) {
            String json = ConfigurationDocuments.canonicalJson(document(fleet));
            String size = fleet.models() + " models, " + fleet.targets() + " targets";
            table.printRow(size, json.length(), "as JSON");
            table.printRow(
                    size + ", checked and expanded",
                    CallCost.measure(
                            () ->
                                    ConfigurationReader.read(
                                            ConfigurationDocuments.parseJson(json))));
        }
    }

    private static Map<String, Object> document(Fleet fleet) {
        Configuration configuration = fleet.configuration();
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("format", 1);
        document.put("moveCost", 1);
        document.put("idempotencyWindowMillis", 600_000);
        document.put("weightStore", Map.of("loadsPerSecond", 1.4, "concurrentLoads", 11));
        document.put(
                "classes",
                Map.of(
                        "interactive",
                        Map.of(
                                "firstTokenMillis", 1_900,
                                "betweenTokensMillis", 58,
                                "totalMillis", 30_000,
                                "weight", 4,
                                "queueLimit", 64)));
        document.put(
                "models",
                byName(
                        configuration.models().values(),
                        model -> model.id().value(),
                        model ->
                                Map.of(
                                        "version",
                                        model.version(),
                                        "memoryMebibytes",
                                        model.memoryMebibytes())));
        document.put(
                "adapters",
                byName(
                        configuration.adapters().values(),
                        adapter -> adapter.id().value(),
                        adapter ->
                                Map.of(
                                        "base",
                                        adapter.base().value(),
                                        "version",
                                        adapter.version(),
                                        "memoryMebibytes",
                                        adapter.memoryMebibytes())));
        document.put(
                "targets",
                byName(
                        configuration.targets().values(),
                        target -> target.id().value(),
                        RecordSlopes::target));
        return document;
    }

    private static Map<String, Object> target(Configuration.Target target) {
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("kind", "engine");
        document.put("host", target.host().value());
        document.put("dataCentre", target.dataCentre().value());
        document.put("endpoint", "127.0.0.1:9000");
        document.put("concurrency", target.concurrency());
        document.put("checksFencing", true);
        document.put(
                "accelerators",
                byName(
                        target.accelerators(),
                        accelerator -> accelerator.id().value(),
                        accelerator ->
                                Map.of(
                                        "memoryMebibytes",
                                        accelerator.memoryMebibytes(),
                                        "cacheMebibytes",
                                        accelerator.cacheMebibytes())));
        return document;
    }

    private static <T> Map<String, Object> byName(
            Collection<T> items,
            Function<T, String> name,
            Function<T, Map<String, Object>> properties) {
        return items.stream().collect(Collectors.toMap(name, properties));
    }
}
