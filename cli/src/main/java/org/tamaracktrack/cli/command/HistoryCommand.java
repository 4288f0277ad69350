package org.tamaracktrack.cli.command;

import com.beust.jcommander.Parameters;
import java.time.Instant;
import java.util.List;
import org.tamaracktrack.cli.ExitCode;
import org.tamaracktrack.cli.log.ConfigurationLog;
import org.tamaracktrack.cli.output.Output;
import org.tamaracktrack.cli.output.Table;
import org.tamaracktrack.core.config.ConfigurationEvent;
import org.tamaracktrack.core.log.LogEntry.Publication;
import org.tamaracktrack.core.log.LogRecord;

/**
 * Lists the publications in the log and their outcomes. Records that have expired are not listed.
 */
@Parameters(commandDescription = "list the publications in the log and their outcomes")
public final class HistoryCommand extends LogCommand {
    @Override
    public String name() {
        return "history";
    }

    @Override
    public List<String> examples() {
        return List.of("tamaracktrack history", "tamaracktrack history --output json");
    }

    @Override
    public ExitCode run(Environment environment) {
        Output output = output(environment);
        ConfigurationLog configuration = logOptions().configuration(environment);
        Table table =
                Table.of(
                        "offset", "time", "outcome", "based on", "operator", "publication", "note");
        configuration.events().forEach(event -> addRow(table, event));
        output.table(table);
        configuration
                .inForce()
                .ifPresent(inForce -> output.line("in force: version " + inForce.version()));
        return ExitCode.OK;
    }

    private static void addRow(Table table, ConfigurationEvent event) {
        if (event instanceof ConfigurationEvent.Accepted accepted) {
            row(table, accepted.record(), "accepted", accepted.publication());
        } else if (event instanceof ConfigurationEvent.Superseded superseded) {
            row(table, superseded.record(), "superseded", superseded.publication());
        } else if (event instanceof ConfigurationEvent.Invalid invalid) {
            row(table, invalid.record(), "invalid", invalid.publication());
        } else if (event instanceof ConfigurationEvent.Doubled doubled) {
            row(table, doubled.record(), "doubled", doubled.publication());
        } else if (event instanceof ConfigurationEvent.SnapshotTaken taken) {
            table.row(
                    taken.record().offset(),
                    time(taken.record()),
                    "snapshot of version " + taken.version(),
                    "",
                    "",
                    "",
                    "older records have expired");
        }
    }

    private static void row(
            Table table, LogRecord record, String outcome, Publication publication) {
        table.row(
                record.offset(),
                time(record),
                outcome,
                publication.basedOn(),
                orEmpty(publication.operator()),
                publication.publication(),
                orEmpty(publication.note()));
    }

    private static Instant time(LogRecord record) {
        return Instant.ofEpochMilli(record.appendedAtMillis());
    }

    private static String orEmpty(String text) {
        return text == null ? "" : text;
    }
}
