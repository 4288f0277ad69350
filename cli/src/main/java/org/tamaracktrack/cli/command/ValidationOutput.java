package org.tamaracktrack.cli.command;

import java.util.List;
import java.util.Map;
import org.tamaracktrack.cli.output.Output;
import org.tamaracktrack.cli.output.OutputFormat;
import org.tamaracktrack.cli.output.Table;
import org.tamaracktrack.core.config.Problem;
import org.tamaracktrack.core.config.Warning;

/** Writes the problems and warnings that were found in a document. */
final class ValidationOutput {
    private ValidationOutput() {}

    static void writeProblems(Output output, List<Problem> problems) {
        Table table = Table.of("path", "kind", "found", "allowed");
        problems.forEach(
                problem ->
                        table.row(
                                problem.path().isEmpty() ? "(document)" : problem.path(),
                                problem.kind(),
                                problem.found(),
                                problem.allowed()));
        if (output.format() == OutputFormat.JSON) {
            output.json(Map.of("valid", false, "problems", table.asMaps()));
            return;
        }
        output.table(table);
        output.line(problems.size() + " problems; nothing was published");
    }

    static void writeWarnings(Output output, List<Warning> warnings) {
        Table table = warningTable(warnings);
        if (output.format() == OutputFormat.JSON) {
            output.json(Map.of("valid", true, "warnings", table.asMaps()));
            return;
        }
        if (!warnings.isEmpty() || output.format() == OutputFormat.CSV) {
            output.table(table);
        }
        output.line("valid, " + warnings.size() + " warnings");
    }

    static Table warningTable(List<Warning> warnings) {
        Table table = Table.of("path", "warning", "message");
        warnings.forEach(warning -> table.row(warning.path(), warning.kind(), warning.message()));
        return table;
    }
}
