package org.tamaracktrack.cli.command;

import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/** Parses numbers of the command line. */
final class Numbers {
    private Numbers() {}

    static long parseWholeNumber(String name, String text, long maximum) {
        if (text.matches("\\d{1,18}") && Long.parseLong(text) <= maximum) {
            return Long.parseLong(text);
        }
        throw TamaracktrackException.of(
                ErrorCode.INVALID_SETTINGS,
                name + " is " + text + "; use a whole number from 0 to " + maximum);
    }
}
