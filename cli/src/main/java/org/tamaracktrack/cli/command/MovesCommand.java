package org.tamaracktrack.cli.command;

import com.beust.jcommander.Parameters;
import java.util.List;
import org.tamaracktrack.cli.ExitCode;
import org.tamaracktrack.cli.log.ReportLog;
import org.tamaracktrack.cli.report.ReportTables;

/** Lists the number of loads, unloads and role changes, by target, kind and cause. */
@Parameters(commandDescription = "count loads, unloads and role changes, by target, kind and cause")
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
                        ReportLog.read(
                                logOptions().logClient(environment),
                                logOptions().retryTimer(environment)));
        ReportOutput.write(environment, output(environment), tables, tables.moveTable());
        return ExitCode.OK;
    }
}
