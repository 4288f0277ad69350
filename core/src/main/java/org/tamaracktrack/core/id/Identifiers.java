package org.tamaracktrack.core.id;

import java.util.Objects;
import java.util.regex.Pattern;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

final class Identifiers {
    private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z0-9._:/-]{1,128}");

    private Identifiers() {}

    static void check(String value) {
        Objects.requireNonNull(value, "value is null");
        if (!IDENTIFIER.matcher(value).matches()) {
            throw TamaracktrackException.of(ErrorCode.BAD_IDENTIFIER, "not an identifier");
        }
    }
}
