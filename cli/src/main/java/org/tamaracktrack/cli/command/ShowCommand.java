package org.tamaracktrack.cli.command;

import com.beust.jcommander.Parameters;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tamaracktrack.cli.ExitCode;
import org.tamaracktrack.cli.output.Output;
import org.tamaracktrack.cli.output.OutputFormat;
import org.tamaracktrack.core.config.ConfigurationInForce;
import org.tamaracktrack.link.codec.Codecs;
import org.tamaracktrack.link.codec.ConfigurationDocuments;

/** Prints the configuration document in force. */
@Parameters(commandDescription = "show the document in force, ready to be edited and published")
public final class ShowCommand extends LogCommand {
    @Override
    public String name() {
        return "show";
    }

    @Override
    public List<String> examples() {
        return List.of(
                "tamaracktrack show > configuration.yaml", "tamaracktrack show --output json");
    }

    @Override
    public ExitCode run(Environment environment) {
        Output output = output(environment);
        ConfigurationInForce inForce = logOptions().inForce(environment);
        Map<String, Object> tree = ConfigurationDocuments.parseJson(inForce.document());
        if (output.format() == OutputFormat.JSON) {
            Map<String, Object> result = new LinkedHashMap<>();
            result.put("version", inForce.version());
            result.put("document", tree);
            output.json(result);
            return ExitCode.OK;
        }
        output.text("# version " + inForce.version() + System.lineSeparator());
        byte[] yaml = Codecs.encode(Codecs.yaml(), tree);
        output.text(new String(yaml, StandardCharsets.UTF_8));
        return ExitCode.OK;
    }
}
