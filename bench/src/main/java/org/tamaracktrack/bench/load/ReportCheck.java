package org.tamaracktrack.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.tamaracktrack.bench.caller.Outcome;
import org.tamaracktrack.bench.stack.CommandResult;
import org.tamaracktrack.bench.stack.LocalStack;
import org.tamaracktrack.bench.stack.StackException;
import org.tamaracktrack.link.codec.Codecs;

/** Compares the operators' report with what callers saw. */
public final class ReportCheck {

    private ReportCheck() {}

    /**
     * Compares, account by account.
     *
     * @param stack the system
     * @param answered every request and what its caller saw
     * @return the differences in words; {@code same} when there are none
     */
    public static String compare(LocalStack stack, List<OpenLoad.Answered> answered) {
        Map<String, long[]> seen = seen(answered);
        Map<String, long[]> told = told(rows(stack, "report"));
        List<String> differences = new ArrayList<>();
        seen.forEach(
                (account, counts) -> {
                    long[] reported = told.getOrDefault(account, new long[2]);
                    if (reported[0] != counts[0] || reported[1] != counts[1]) {
                        differences.add(
                                String.format(
                                        "%s offered %d whole %d against %d %d",
                                        account, reported[0], reported[1], counts[0], counts[1]));
                    }
                });
        return differences.isEmpty() ? "same" : String.join("; ", differences);
    }

    /**
     * Returns the moves as the operators' tool tells them.
     *
     * @param stack the system
     * @return how many of each kind
     */
    public static Map<String, Long> moves(LocalStack stack) {
        Map<String, Long> moves = new TreeMap<>();
        rows(stack, "moves")
                .forEach(
                        row ->
                                moves.merge(
                                        row.get("kind").asText() + "/" + row.get("cause").asText(),
                                        row.get("moves").asLong(),
                                        Long::sum));
        return moves;
    }

    private static Map<String, long[]> seen(List<OpenLoad.Answered> answered) {
        return answered.stream()
                .collect(
                        Collectors.toMap(
                                request -> request.arrival().request().caller().account(),
                                request ->
                                        new long[] {
                                            1, request.seen().outcome() == Outcome.WHOLE ? 1 : 0
                                        },
                                ReportCheck::sum));
    }

    private static Map<String, long[]> told(List<JsonNode> rows) {
        return rows.stream()
                .collect(
                        Collectors.toMap(
                                row -> row.get("account").asText(),
                                row ->
                                        new long[] {
                                            row.get("offered").asLong(),
                                            field(row, "in class") + field(row, "late")
                                        },
                                ReportCheck::sum));
    }

    private static long field(JsonNode row, String name) {
        JsonNode value = row.has(name) ? row.get(name) : row.get(name.replace(' ', '_'));
        return value.asLong();
    }

    private static long[] sum(long[] left, long[] right) {
        return new long[] {left[0] + right[0], left[1] + right[1]};
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
            List<JsonNode> list = new ArrayList<>();
            rows.forEach(list::add);
            return list;
        } catch (IOException wrong) {
            throw StackException.of(command + " gave no JSON: " + output, wrong);
        }
    }
}
