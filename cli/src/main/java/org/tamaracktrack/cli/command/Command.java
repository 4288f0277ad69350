package org.tamaracktrack.cli.command;

import java.util.List;
import org.tamaracktrack.cli.ExitCode;

/** A command of the tool. Its options are set from the arguments of the process before it runs. */
public interface Command {

    /**
     * Returns the name of the command on the command line.
     *
     * @return the name
     */
    String name();

    /**
     * Returns example invocations for the help text.
     *
     * @return command lines
     */
    List<String> examples();

    /**
     * Returns whether the help text was requested, so that the command is not to run.
     *
     * @return true if help was requested
     */
    boolean isHelpRequested();

    /**
     * Runs the command.
     *
     * @param environment the environment to run in
     * @return the exit code
     * @throws org.tamaracktrack.core.error.TamaracktrackException if the command fails
     */
    ExitCode run(Environment environment);
}
