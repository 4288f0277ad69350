package org.tamaracktrack.cli.command;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tamaracktrack.cli.ExitCode;
import org.tamaracktrack.cli.output.Output;
import org.tamaracktrack.cli.output.Table;
import org.tamaracktrack.core.config.ConfigurationInForce;
import org.tamaracktrack.core.config.DocumentDifference;
import org.tamaracktrack.core.config.DocumentDifference.Change;
import org.tamaracktrack.link.codec.Codecs;
import org.tamaracktrack.link.codec.ConfigurationDocuments;

/** Compares a document with the one in force. */
@Parameters(commandDescription = "compare a document with the one in force")
public final class DiffCommand extends LogCommand {
    @ParametersDelegate private final DocumentOptions document = new DocumentOptions();

    @Override
    public String name() {
        return "diff";
    }

    @Override
    public List<String> examples() {
        return List.of(
                "tamaracktrack diff configuration.yaml",
                "tamaracktrack diff configuration.yaml --output json");
    }

    @Override
    public ExitCode run(Environment environment) {
        Output output = output(environment);
        // Encoded and parsed as the published document is, so that the numbers 1 and 1L compare
        // equal.
        Map<String, Object> proposed =
                ConfigurationDocuments.parseJson(
                        ConfigurationDocuments.canonicalJson(document.document()));
        ConfigurationInForce inForce = logOptions().inForce(environment);
        List<Change> changes =
                DocumentDifference.between(
                        ConfigurationDocuments.parseJson(inForce.document()), proposed);
        Table table = Table.of("path", "in force", "file");
        changes.forEach(
                change -> table.row(change.path(), text(change.before()), text(change.after())));
        output.table(table);
        output.line(changes.size() + " differences to version " + inForce.version() + ", in force");
        return changes.isEmpty() ? ExitCode.OK : ExitCode.DIFFERENT;
    }

    private static String text(Optional<Object> value) {
        return value.map(
                        found ->
                                new String(
                                        Codecs.encode(Codecs.json(), found),
                                        StandardCharsets.UTF_8))
                .orElse("-");
    }
}
