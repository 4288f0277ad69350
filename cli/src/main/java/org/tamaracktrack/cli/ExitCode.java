package org.tamaracktrack.cli;

import java.util.Arrays;
import java.util.stream.Collectors;
import org.tamaracktrack.core.error.ErrorCode;

/** The exit codes of the tool. Scripts depend on the numbers. */
public enum ExitCode {
    OK(0, "done"),
    INVALID(1, "the document is not valid; nothing was published"),
    USAGE(2, "the command line or the environment is invalid"),
    SUPERSEDED(3, "another publication came first; nothing changed"),
    LOG_UNAVAILABLE(4, "the log is unavailable; nothing was written"),
    OUTCOME_UNKNOWN(5, "written or possibly written, but not read back in time"),
    DIFFERENT(6, "diff: the documents differ"),
    NOT_FOUND(7, "no configuration is in force, or the name is unknown"),
    INTERNAL(8, "internal error");

    private final int number;
    private final String meaning;

    ExitCode(int number, String meaning) {
        this.number = number;
        this.meaning = meaning;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return the status
     */
    public int number() {
        return number;
    }

    /**
     * Returns the exit code for an error code.
     *
     * @param code the code of the failure
     * @return the exit code
     */
    public static ExitCode of(ErrorCode code) {
        return switch (code) {
            case INVALID_CONFIGURATION -> INVALID;
            case SUPERSEDED -> SUPERSEDED;
            case LOG_UNAVAILABLE -> LOG_UNAVAILABLE;
            case LOG_OUTCOME_UNKNOWN -> OUTCOME_UNKNOWN;
            case INVALID_SETTINGS, BAD_IDENTIFIER, BAD_REQUEST -> USAGE;
            case NOT_FOUND, LOG_GAP -> NOT_FOUND;
            default -> INTERNAL;
        };
    }

    /**
     * Lists the exit codes and their meanings for the help text.
     *
     * @return one line for each exit code
     */
    public static String help() {
        return Arrays.stream(values())
                .map(code -> "  " + code.number + "  " + code.meaning)
                .collect(Collectors.joining(System.lineSeparator()));
    }
}
