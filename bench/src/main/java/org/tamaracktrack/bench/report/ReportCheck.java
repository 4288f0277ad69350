package org.tamaracktrack.bench.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.tamaracktrack.bench.stack.CommandResult;
import org.tamaracktrack.bench.stack.LocalStack;
import org.tamaracktrack.bench.stack.StackException;
import org.tamaracktrack.link.codec.Codecs;

/** Compares the operators' report with the results that callers observed, row by row. */
public final class ReportCheck {

    private ReportCheck() {}

    /**
     * Compares the report of a system with the requests that were sent to it. The daemons must have
     * published their last counters before, for instance by stopping.
     *
     * @param stack the system
     * @param requests every request that was sent to the system
     * @return a description of each row that differs; empty when the report is correct
     */
    public static List<String> differences(LocalStack stack, Collection<ObservedRequest> requests) {
        return differences(requests, reportedCounts(rows(stack, "report")));
    }

    static List<String> differences(
            Collection<ObservedRequest> requests, Map<ObservedRequest.Row, Counts> reportedByRow) {
        Map<ObservedRequest.Row, Counts> expected =
                requests.stream()
                        .collect(Collectors.toMap(ObservedRequest::row, Counts::of, Counts::plus));
        Map<ObservedRequest.Row, String> differences =
                new TreeMap<>(Comparator.comparing(ObservedRequest.Row::toString));
        expected.forEach(
                (row, counts) -> {
                    Counts reported = reportedByRow.getOrDefault(row, Counts.NONE);
                    if (!counts.agreesWith(reported)) {
                        differences.put(
                                row,
                                row + ": callers observed " + counts + ", reported " + reported);
                    }
                });
        reportedByRow.forEach(
                (row, counts) -> {
                    if (!expected.containsKey(row)) {
                        differences.put(
                                row, row + ": callers sent no requests, reported " + counts);
                    }
                });
        return List.copyOf(differences.values());
    }

    /**
     * Returns the numbers of moves that the operators' command-line tool reports.
     *
     * @param stack the system
     * @return the number of moves by {@code kind/cause}
     */
    public static Map<String, Long> moves(LocalStack stack) {
        return rows(stack, "moves").stream()
                .collect(
                        Collectors.toMap(
                                row -> row.get("kind").asText() + "/" + row.get("cause").asText(),
                                row -> row.get("moves").asLong(),
                                Long::sum,
                                TreeMap::new));
    }

    private static Map<ObservedRequest.Row, Counts> reportedCounts(List<JsonNode> rows) {
        return rows.stream()
                .collect(
                        Collectors.toMap(
                                row ->
                                        new ObservedRequest.Row(
                                                row.get("account").asText(),
                                                row.get("model").asText(),
                                                row.get("class").asText()),
                                ReportCheck::counts));
    }

    private static Counts counts(JsonNode row) {
        long offered = field(row, "offered");
        long whole = field(row, "in class") + field(row, "late");
        long refused = field(row, "refused");
        return new Counts(
                offered, whole, refused, offered - whole - refused, field(row, "answer tokens"));
    }

    private static long field(JsonNode row, String name) {
        JsonNode value = row.has(name) ? row.get(name) : row.get(name.replace(' ', '_'));
        if (value == null) {
            throw StackException.of("report row has no field " + name + ": " + row);
        }
        return value.asLong();
    }

    private static List<JsonNode> rows(LocalStack stack, String command) {
        CommandResult result = stack.command(command, "--output", "json");
        String output = result.output();
        if (result.status() != 0 || output.indexOf('{') < 0) {
            throw StackException.of(command + " failed: " + output);
        }
        try {
            JsonNode rows =
                    Codecs.json().readTree(output.substring(output.indexOf('{'))).get("rows");
            return StreamSupport.stream(rows.spliterator(), false).toList();
        } catch (IOException invalid) {
            throw StackException.of(command + " did not print valid JSON: " + output, invalid);
        }
    }
}
