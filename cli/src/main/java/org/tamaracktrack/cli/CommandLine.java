package org.tamaracktrack.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.tamaracktrack.cli.command.Command;
import org.tamaracktrack.cli.command.DiffCommand;
import org.tamaracktrack.cli.command.DrainCommand;
import org.tamaracktrack.cli.command.Environment;
import org.tamaracktrack.cli.command.HistoryCommand;
import org.tamaracktrack.cli.command.MovesCommand;
import org.tamaracktrack.cli.command.PublishCommand;
import org.tamaracktrack.cli.command.ReportCommand;
import org.tamaracktrack.cli.command.ShowCommand;
import org.tamaracktrack.cli.command.StatusCommand;
import org.tamaracktrack.cli.command.ValidateCommand;
import org.tamaracktrack.core.error.TamaracktrackException;

/** Parses a command line and runs its command. */
public final class CommandLine {
    private static final String PROGRAM = "tamaracktrack";
    private static final String HINT = "see `tamaracktrack --help`";

    private final Environment environment;
    private final Map<String, Command> commands;
    private final GlobalOptions globalOptions = new GlobalOptions();
    private final JCommander parser;

    /** Holds the options that precede the command. */
    private static final class GlobalOptions {
        @Parameter(names = "--help", help = true, description = "show this help")
        private boolean help;
    }

    private CommandLine(Environment environment, List<Command> commands) {
        this.environment = environment;
        this.commands =
                commands.stream().collect(Collectors.toMap(Command::name, Function.identity()));
        this.parser = JCommander.newBuilder().programName(PROGRAM).addObject(globalOptions).build();
        this.parser.setExpandAtSign(false);
        commands.forEach(command -> parser.addCommand(command.name(), command));
    }

    /**
     * Returns a command line that knows all commands.
     *
     * @param environment the environment that commands run in
     * @return the command line
     */
    public static CommandLine of(Environment environment) {
        Objects.requireNonNull(environment, "environment is null");
        return new CommandLine(
                environment,
                List.of(
                        new ValidateCommand(),
                        new DiffCommand(),
                        new PublishCommand(),
                        new ShowCommand(),
                        new HistoryCommand(),
                        new ReportCommand(),
                        new MovesCommand(),
                        new StatusCommand(),
                        new DrainCommand()));
    }

    /**
     * Parses the arguments and runs the command. Writes failures to the error stream.
     *
     * @param arguments the arguments of the process
     * @return the exit code of the command
     */
    public ExitCode run(String... arguments) {
        try {
            parser.parse(arguments);
        } catch (ParameterException failure) {
            environment.errors().println(failure.getMessage());
            environment.errors().println(HINT);
            return ExitCode.USAGE;
        }
        Optional<Command> command =
                Optional.ofNullable(parser.getParsedCommand()).map(commands::get);
        if (globalOptions.help || command.filter(Command::isHelpRequested).isPresent()) {
            environment.out().println(help(command));
            return ExitCode.OK;
        }
        if (command.isEmpty()) {
            environment.errors().println(help(command));
            return ExitCode.USAGE;
        }
        return run(command.get());
    }

    private ExitCode run(Command command) {
        try {
            return command.run(environment);
        } catch (TamaracktrackException failure) {
            environment.errors().println(failure.getMessage());
            ExitCode exitCode = ExitCode.of(failure.code());
            if (exitCode == ExitCode.USAGE) {
                environment.errors().println(HINT);
            }
            return exitCode;
        }
    }

    private String help(Optional<Command> command) {
        StringBuilder text = new StringBuilder();
        command.ifPresentOrElse(
                found -> parser.getUsageFormatter().usage(found.name(), text),
                () -> parser.getUsageFormatter().usage(text));
        command.ifPresent(
                found ->
                        text.append("  Examples:\n    ")
                                .append(String.join("\n    ", found.examples()))
                                .append('\n'));
        return text.append("  Exit codes:\n").append(ExitCode.help()).toString();
    }
}
