package org.tamaracktrack.core.id;

import java.util.Objects;
import java.util.regex.Pattern;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/**
 * The version of the software that a target runs, not that of the models it holds. Versions are
 * compared for equality only; they have no order.
 *
 * @param value the version as text without white space, at most 128 characters; empty when the
 *     target states none
 */
public record SoftwareVersion(String value) {
    private static final Pattern VERSION = Pattern.compile("[\\x21-\\x7e]{0,128}");
    private static final SoftwareVersion UNSTATED = new SoftwareVersion("");

    /**
     * Checks the text.
     *
     * @throws TamaracktrackException with {@code BAD_IDENTIFIER} when it is too long or has other
     *     characters
     */
    public SoftwareVersion {
        Objects.requireNonNull(value, "value is null");
        if (!VERSION.matcher(value).matches()) {
            throw TamaracktrackException.of(ErrorCode.BAD_IDENTIFIER, "not a software version");
        }
    }

    /**
     * Returns the version for a text.
     *
     * @param value the text
     * @return the version
     */
    public static SoftwareVersion of(String value) {
        return new SoftwareVersion(value);
    }

    /**
     * Returns the version of targets that state none. They are taken to run the same software.
     *
     * @return the version
     */
    public static SoftwareVersion unstated() {
        return UNSTATED;
    }

    @Override
    public String toString() {
        return value.isEmpty() ? "-" : value;
    }
}
