package org.tamaracktrack.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import java.util.Optional;
import org.tamaracktrack.cli.ExitCode;
import org.tamaracktrack.cli.log.ReportLog;
import org.tamaracktrack.cli.report.ReportTables;
import org.tamaracktrack.core.id.ClientAccountId;

/**
 * Reports the outcomes of requests and the tokens, by client account, model or service, and request
 * class.
 */
@Parameters(commandDescription = "request outcomes and tokens, by client account, model and class")
public final class ReportCommand extends LogCommand {
    @Parameter(names = "--account", order = 10, description = "only this client account")
    private String account;

    @Override
    public String name() {
        return "report";
    }

    @Override
    public List<String> examples() {
        return List.of(
                "tamaracktrack report",
                "tamaracktrack report --account cevallos --output csv > cevallos.csv");
    }

    @Override
    public ExitCode run(Environment environment) {
        ReportTables tables =
                ReportTables.of(
                        ReportLog.read(
                                logOptions().logClient(environment),
                                logOptions().retryTimer(environment)));
        Optional<ClientAccountId> only = Optional.ofNullable(account).map(ClientAccountId::of);
        ReportOutput.write(environment, output(environment), tables, tables.serviceTable(only));
        return ExitCode.OK;
    }
}
