package org.tamaracktrack.cli.command;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.List;
import org.tamaracktrack.cli.ExitCode;
import org.tamaracktrack.cli.output.Output;
import org.tamaracktrack.core.config.ConfigurationReader;
import org.tamaracktrack.core.config.ConfigurationReading;

/** Checks a document without publishing it. */
@Parameters(commandDescription = "check a document without publishing it; needs no log")
public final class ValidateCommand extends BasicCommand {
    @ParametersDelegate private final DocumentOptions document = new DocumentOptions();

    @Override
    public String name() {
        return "validate";
    }

    @Override
    public List<String> examples() {
        return List.of(
                "tamaracktrack validate configuration.yaml",
                "tamaracktrack validate configuration.yaml --parameter share=3 --output json");
    }

    @Override
    public ExitCode run(Environment environment) {
        Output output = output(environment);
        ConfigurationReading reading = ConfigurationReader.read(document.document());
        if (reading instanceof ConfigurationReading.Accepted accepted) {
            ValidationOutput.writeWarnings(output, accepted.warnings());
            return ExitCode.OK;
        }
        ValidationOutput.writeProblems(
                output, ((ConfigurationReading.Rejected) reading).problems());
        return ExitCode.INVALID;
    }
}
