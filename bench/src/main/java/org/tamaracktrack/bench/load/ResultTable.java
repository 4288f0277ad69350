package org.tamaracktrack.bench.load;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.bench.measure.LatencyHistogram;

/** Formats the results of runs as a table, one row for each run. */
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
     * Returns the table in Markdown.
     *
     * @param results the results
     * @return the text
     */
    public static String markdown(List<RunResult> results) {
        Objects.requireNonNull(results, "results is null");
        Stream<String> headerRows =
                Stream.of(
                        joinCells(HEADERS, " | "),
                        joinCells(HEADERS.stream().map(header -> "---").toList(), " | "));
        return Stream.concat(
                        headerRows.map(ResultTable::markdownRow),
                        results.stream()
                                .map(ResultTable::cells)
                                .map(cells -> markdownRow(joinCells(cells, " | "))))
                .collect(Collectors.joining("\n", "", "\n"));
    }

    /**
     * Returns the table as comma-separated values.
     *
     * @param results the results
     * @return the text
     */
    public static String csv(List<RunResult> results) {
        return Stream.concat(Stream.of(HEADERS), results.stream().map(ResultTable::cells))
                .map(cells -> cells.stream().map(cell -> '"' + cell + '"').toList())
                .map(cells -> joinCells(cells, ","))
                .collect(Collectors.joining("\n", "", "\n"));
    }

    private static String markdownRow(String line) {
        return "| " + line + " |";
    }

    private static String joinCells(List<String> cells, String separator) {
        return String.join(separator, cells);
    }

    private static List<String> cells(RunResult result) {
        LatencyHistogram firstTokenTimes = result.firstTokenTimes();
        return List.of(
                result.user().name(),
                result.scenario().name().toLowerCase(Locale.ROOT),
                result.policy().name(),
                Double.toString(result.loadFactor()),
                Integer.toString(result.sentRequests().size()),
                formatNumber(result.attainedPerAccelerator()),
                formatNumber(result.attainment("interactive")),
                formatNumber(result.attainment("batch")),
                result.attainmentByAccount().values().stream()
                        .map(ResultTable::formatNumber)
                        .collect(Collectors.joining(" / ")),
                formatNumber(firstTokenTimes.percentileMillis(50))
                        + " / "
                        + formatNumber(firstTokenTimes.percentileMillis(95))
                        + " / "
                        + formatNumber(firstTokenTimes.percentileMillis(99)),
                formatCounts(result.moves()),
                formatCounts(result.outcomes()),
                Integer.toString(result.overcommits()),
                result.reportDifference());
    }

    private static String formatNumber(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }

    private static String formatCounts(Map<String, Long> counts) {
        return counts.entrySet().stream()
                .map(count -> count.getKey() + "=" + count.getValue())
                .collect(Collectors.joining(" "));
    }
}
