package org.tamaracktrack.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import java.util.Optional;
import org.tamaracktrack.cli.ExitCode;
import org.tamaracktrack.cli.log.ReportLog;
import org.tamaracktrack.cli.report.ReportTables;
import org.tamaracktrack.core.id.ClientAccountId;

/** Says who got what. */
@Parameters(commandDescription = "who got what, by client account, model and class")
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
                        ReportLog.read(log().log(environment), log().patience(environment)));
        Optional<ClientAccountId> only = Optional.ofNullable(account).map(ClientAccountId::of);
        ReportOutput.write(environment, output(environment), tables, tables.service(only));
        return ExitCode.OK;
    }
}
