package org.tamaracktrack.cli.command;

import java.util.List;
import org.tamaracktrack.cli.ExitCode;

/** One command of the tool. Its options are filled in by the command line before it runs. */
public interface Command {

    /**
     * Returns the name on the command line.
     *
     * @return the name
     */
    String name();

    /**
     * Returns examples for the help text.
     *
     * @return command lines
     */
    List<String> examples();

    /**
     * Returns whether help was asked for instead of a run.
     *
     * @return true for help
     */
    boolean helpWanted();

    /**
     * Runs.
     *
     * @param environment what is around it
     * @return how it ended
     * @throws org.tamaracktrack.core.error.TamaracktrackException when it fails
     */
    ExitCode run(Environment environment);
}
