package org.tamaracktrack.cli.command;

import com.beust.jcommander.ParametersDelegate;

/** A command that reads or writes the log. */
abstract class LogCommand extends BasicCommand {
    @ParametersDelegate private final LogOptions log = new LogOptions();

    final LogOptions log() {
        return log;
    }
}
