package org.tamaracktrack.cli.command;

import com.beust.jcommander.Parameter;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import org.tamaracktrack.cli.output.Output;
import org.tamaracktrack.cli.output.OutputFormat;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/** Holds the options of all commands. A flag takes precedence over its environment variable. */
final class CommonOptions {
    private static final String OUTPUT_VARIABLE = "TAMARACKTRACK_OUTPUT";

    @Parameter(
            names = "--output",
            order = 90,
            description = "table, json or csv (TAMARACKTRACK_OUTPUT; default: table)")
    private String output;

    @Parameter(names = "--help", help = true, order = 99, description = "show this help")
    private boolean help;

    boolean isHelpRequested() {
        return help;
    }

    Output output(Environment environment) {
        String text =
                Optional.ofNullable(output)
                        .or(() -> Optional.ofNullable(environment.variables().get(OUTPUT_VARIABLE)))
                        .orElse("table");
        return Output.of(environment.out(), format(text));
    }

    private static OutputFormat format(String text) {
        return Arrays.stream(OutputFormat.values())
                .filter(format -> format.name().toLowerCase(Locale.ROOT).equals(text))
                .findFirst()
                .orElseThrow(
                        () ->
                                TamaracktrackException.of(
                                        ErrorCode.INVALID_SETTINGS,
                                        "--output is " + text + "; use table, json or csv"));
    }
}
