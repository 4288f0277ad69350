package org.tamaracktrack.cli.command;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tamaracktrack.cli.output.Output;
import org.tamaracktrack.cli.output.OutputFormat;
import org.tamaracktrack.cli.output.Table;
import org.tamaracktrack.cli.report.ReportTables;

/** Writes a table of a report together with the period that it covers. */
final class ReportOutput {
    private ReportOutput() {}

    // Without the period, a reader could take an incomplete report for a complete one. CSV has no
    // place for it, so the period goes to the error stream in that format.
    static void write(Environment environment, Output output, ReportTables tables, Table table) {
        if (output.format() == OutputFormat.JSON) {
            Map<String, Object> result = new LinkedHashMap<>(tables.period());
            result.put("rows", table.asMaps());
            output.json(result);
            return;
        }
        output.table(table);
        tables.periodLines()
                .forEach(
                        line -> {
                            if (output.format() == OutputFormat.CSV) {
                                environment.errors().println(line);
                            } else {
                                output.line(line);
                            }
                        });
    }
}
