package org.tamaracktrack.cli.command;

import com.beust.jcommander.Parameters;
import java.util.List;
import org.tamaracktrack.cli.ExitCode;
import org.tamaracktrack.cli.log.ReportLog;
import org.tamaracktrack.cli.report.ReportTables;

/** Says which loads, unloads and role changes were spent. */
@Parameters(commandDescription = "loads, unloads and role changes, by target, kind and cause")
public final class MovesCommand extends LogCommand {
    @Override
    public String name() {
        return "moves";
    }

    @Override
    public List<String> examples() {
        return List.of("tamaracktrack moves", "tamaracktrack moves --output json");
    }

    @Override
    public ExitCode run(Environment environment) {
        ReportTables tables =
                ReportTables.of(
                        ReportLog.read(log().log(environment), log().patience(environment)));
        ReportOutput.write(environment, output(environment), tables, tables.moves());
        return ExitCode.OK;
    }
}
