package org.tamaracktrack.cli.command;

import com.beust.jcommander.ParametersDelegate;
import org.tamaracktrack.cli.output.Output;

/** A command with the options that every command has. */
abstract class BasicCommand implements Command {
    @ParametersDelegate private final CommonOptions common = new CommonOptions();

    @Override
    public final boolean helpWanted() {
        return common.helpWanted();
    }

    final Output output(Environment environment) {
        return common.output(environment);
    }
}
