package org.tamaracktrack.cli.report;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.tamaracktrack.cli.output.Table;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.RequestClassId;
import org.tamaracktrack.core.report.CounterName;
import org.tamaracktrack.core.report.Report;
import org.tamaracktrack.core.report.RequestOutcome;

/**
 * Formats a report as tables: the outcomes of requests, the moves, and the period that they cover.
 */
public final class ReportTables {
    private final Report report;

    private record RowKey(ClientAccountId account, String destination, RequestClassId requestClass)
            implements Comparable<RowKey> {
        private static final Comparator<RowKey> ORDER =
                Comparator.comparing(RowKey::account)
                        .thenComparing(RowKey::destination)
                        .thenComparing(RowKey::requestClass);

        @Override
        public int compareTo(RowKey other) {
            return ORDER.compare(this, other);
        }
    }

    private ReportTables(Report report) {
        this.report = report;
    }

    /**
     * Returns the tables of a report.
     *
     * @param report the report
     * @return the tables
     */
    public static ReportTables of(Report report) {
        return new ReportTables(report);
    }

    /**
     * Returns the outcomes of requests and the tokens.
     *
     * @param account the only client account to include; empty for all
     * @return one row for each client account, model or service, and request class
     */
    public Table serviceTable(Optional<ClientAccountId> account) {
        Map<RowKey, ServiceRow> rows = new TreeMap<>();
        report.counters()
                .forEach(
                        (name, count) ->
                                CounterName.parse(name)
                                        .ifPresent(parsed -> add(rows, parsed, count)));
        Table table =
                Table.of(
                        "account",
                        "model",
                        "class",
                        "offered",
                        "in class",
                        "late",
                        "refused",
                        "unknown",
                        "failed",
                        "cancelled",
                        "in progress",
                        "prompt tokens",
                        "answer tokens",
                        "attainment",
                        "refused by reason");
        rows.forEach(
                (key, row) -> {
                    if (account.map(key.account()::equals).orElse(true)) {
                        addRow(table, key, row);
                    }
                });
        return table;
    }

    private static void add(Map<RowKey, ServiceRow> rows, CounterName name, long count) {
        if (name instanceof CounterName.Requests requests) {
            RowKey key =
                    new RowKey(requests.account(), requests.destination(), requests.requestClass());
            rows.computeIfAbsent(key, absent -> new ServiceRow()).add(requests.outcome(), count);
        } else if (name instanceof CounterName.Tokens tokens) {
            RowKey key =
                    new RowKey(tokens.account(), tokens.model().value(), tokens.requestClass());
            rows.computeIfAbsent(key, absent -> new ServiceRow()).add(tokens.kind(), count);
        }
    }

    private static void addRow(Table table, RowKey key, ServiceRow row) {
        table.row(
                key.account(),
                key.destination(),
                key.requestClass(),
                row.count(RequestOutcome.Kind.OFFERED),
                row.count(RequestOutcome.Kind.IN_CLASS),
                row.count(RequestOutcome.Kind.LATE),
                row.count(RequestOutcome.Kind.REFUSED),
                row.count(RequestOutcome.Kind.UNKNOWN),
                row.count(RequestOutcome.Kind.FAILED),
                row.count(RequestOutcome.Kind.CANCELLED),
                row.inProgress(),
                row.promptTokens(),
                row.answerTokens(),
                row.attainment(),
                row.refusalReasons());
    }

    /**
     * Returns the number of loads, unloads and role changes.
     *
     * @return one row for each target, kind and cause
     */
    public Table moveTable() {
        Table table = Table.of("target", "kind", "cause", "moves");
        report.counters().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(
                        entry ->
                                CounterName.parse(entry.getKey())
                                        .filter(CounterName.Moves.class::isInstance)
                                        .map(CounterName.Moves.class::cast)
                                        .ifPresent(
                                                moves ->
                                                        table.row(
                                                                moves.target(),
                                                                moves.kind().text(),
                                                                moves.cause().text(),
                                                                entry.getValue())));
        return table;
    }

    /**
     * Returns the period of the report and the processes whose final record is missing, to be
     * encoded as JSON.
     *
     * @return the values by key
     */
    public Map<String, Object> period() {
        Map<String, Object> period = new LinkedHashMap<>();
        period.put("from", time(report.fromMillis()));
        period.put("completeTo", time(report.completeToMillis()));
        period.put("complete", report.isComplete());
        period.put("recordsLost", report.recordsLost());
        period.put(
                "missing",
                report.missing().stream()
                        .map(
                                missing ->
                                        Map.of(
                                                "process",
                                                missing.incarnation().value(),
                                                "knownTo",
                                                time(missing.lastTakenMillis())))
                        .toList());
        return period;
    }

    /**
     * Returns the period of the report and the processes whose final record is missing, as text.
     *
     * @return the lines
     */
    public List<String> periodLines() {
        List<String> lines = new ArrayList<>();
        if (report.completeToMillis().isEmpty()) {
            lines.add("no process has published a report");
            return lines;
        }
        lines.add(
                "from %s to %s: %s"
                        .formatted(
                                time(report.fromMillis()),
                                time(report.completeToMillis()),
                                report.isComplete() ? "complete" : "NOT complete"));
        if (report.recordsLost()) {
            lines.add(
                    "records expired before a report snapshot covered them; earlier counts are"
                            + " lost");
        }
        report.missing()
                .forEach(
                        missing ->
                                lines.add(
                                        "missing: %s has no final record; counted up to %s"
                                                .formatted(
                                                        missing.incarnation(),
                                                        time(missing.lastTakenMillis()))));
        return lines;
    }

    private static String time(OptionalLong millis) {
        return millis.isPresent() ? time(millis.getAsLong()) : "unknown";
    }

    private static String time(long millis) {
        return Instant.ofEpochMilli(millis).toString();
    }
}
