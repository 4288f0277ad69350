package org.tamaracktrack.cli.command;

import com.beust.jcommander.ParametersDelegate;

/** Base class of the commands that read or write the log. */
abstract class LogCommand extends BasicCommand {
    @ParametersDelegate private final LogOptions logOptions = new LogOptions();

    final LogOptions logOptions() {
        return logOptions;
    }
}
