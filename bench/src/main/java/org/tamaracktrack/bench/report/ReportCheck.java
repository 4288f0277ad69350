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

/** Compares the operators' report with what callers saw, row by row. */
public final class ReportCheck {

    private ReportCheck() {}

    /**
     * Compares. The daemons should have published their last counters.
     *
     * @param stack the system
     * @param seen every request that was sent to it
     * @return the rows that differ, in words; empty when the report is true
     */
    public static List<String> differences(LocalStack stack, Collection<ObservedRequest> seen) {
        return differences(seen, reportedCounts(rows(stack, "report")));
    }

    static List<String> differences(
            Collection<ObservedRequest> seen, Map<ObservedRequest.Row, Counts> told) {
        Map<ObservedRequest.Row, Counts> expected =
                seen.stream()
                        .collect(Collectors.toMap(ObservedRequest::row, Counts::of, Counts::plus));
        Map<ObservedRequest.Row, String> differences =
                new TreeMap<>(Comparator.comparing(ObservedRequest.Row::toString));
        expected.forEach(
                (row, counts) -> {
                    Counts reported = told.getOrDefault(row, Counts.NONE);
                    if (!counts.agreesWith(reported)) {
                        differences.put(
                                row, row + ": callers saw " + counts + ", report " + reported);
                    }
                });
        told.forEach(
                (row, counts) -> {
                    if (!expected.containsKey(row)) {
                        differences.put(row, row + ": callers sent nothing, report " + counts);
                    }
                });
        return List.copyOf(differences.values());
    }

    /**
     * Returns the moves as the operators' tool tells them.
     *
     * @param stack the system
     * @return how many of each kind and cause
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
            throw StackException.of("no " + name + " in the report: " + row);
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
        } catch (IOException wrong) {
            throw StackException.of(command + " gave no JSON: " + output, wrong);
        }
    }
}
