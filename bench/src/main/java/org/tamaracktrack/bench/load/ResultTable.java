package org.tamaracktrack.bench.load;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.bench.measure.Quantiles;

/** Results as a table. */
public final class ResultTable {
    private static final List<String> HEADERS =
            List.of(
                    "user",
                    "scenario",
                    "policy",
                    "load",
                    "sent",
                    "in class per accelerator",
                    "interactive in class %",
                    "batch in class %",
                    "by account %",
                    "first token p50/p95/p99 ms",
                    "moves",
                    "outcomes",
                    "overcommits",
                    "report against callers");

    private ResultTable() {}

    /**
     * Returns the rows in Markdown.
     *
     * @param results the results
     * @return the text
     */
    public static String markdown(List<RunResult> results) {
        Objects.requireNonNull(results, "results is null");
        Stream<String> head =
                Stream.of(
                        line(HEADERS, " | "),
                        line(HEADERS.stream().map(header -> "---").toList(), " | "));
        return Stream.concat(
                        head.map(ResultTable::boxed),
                        results.stream()
                                .map(ResultTable::cells)
                                .map(cells -> boxed(line(cells, " | "))))
                .collect(Collectors.joining("\n", "", "\n"));
    }

    /**
     * Returns the rows as comma-separated values.
     *
     * @param results the results
     * @return the text
     */
    public static String csv(List<RunResult> results) {
        return Stream.concat(Stream.of(HEADERS), results.stream().map(ResultTable::cells))
                .map(cells -> cells.stream().map(cell -> '"' + cell + '"').toList())
                .map(cells -> line(cells, ","))
                .collect(Collectors.joining("\n", "", "\n"));
    }

    private static String boxed(String line) {
        return "| " + line + " |";
    }

    private static String line(List<String> cells, String separator) {
        return String.join(separator, cells);
    }

    private static List<String> cells(RunResult result) {
        Quantiles first = result.firstTokens();
        return List.of(
                result.user().name(),
                result.scenario().name().toLowerCase(Locale.ROOT),
                result.policy().name(),
                Double.toString(result.loadFactor()),
                Integer.toString(result.answered().size()),
                number(result.attainedPerAccelerator()),
                number(result.attainment("interactive")),
                number(result.attainment("batch")),
                result.attainmentByAccount().values().stream()
                        .map(ResultTable::number)
                        .collect(Collectors.joining(" / ")),
                number(first.at(50)) + " / " + number(first.at(95)) + " / " + number(first.at(99)),
                pairs(result.moves()),
                pairs(result.outcomes()),
                Integer.toString(result.overcommits()),
                result.reportDifference());
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }

    private static String pairs(Map<String, Long> counts) {
        return counts.entrySet().stream()
                .map(count -> count.getKey() + "=" + count.getValue())
                .collect(Collectors.joining(" "));
    }
}
