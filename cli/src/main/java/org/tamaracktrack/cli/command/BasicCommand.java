package org.tamaracktrack.cli.command;

import com.beust.jcommander.ParametersDelegate;
import org.tamaracktrack.cli.output.Output;

/** Base class of all commands, with the options that they share. */
abstract class BasicCommand implements Command {
    @ParametersDelegate private final CommonOptions common = new CommonOptions();

    @Override
    public final boolean isHelpRequested() {
        return common.isHelpRequested();
    }

    final Output output(Environment environment) {
        return common.output(environment);
    }
}
