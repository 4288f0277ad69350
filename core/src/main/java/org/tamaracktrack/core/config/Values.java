package org.tamaracktrack.core.config;

import java.math.BigInteger;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Names values of a document tree in words that an operator can read. */
final class Values {
    /**
     * Stands where a parameter without a value was used. The problem is reported once, there;
     * whoever reads the value passes over it in silence.
     */
    static final Object UNRESOLVED = new Object();

    private static final int SHOWN_CHARACTERS = 60;
    private static final int SHOWN_BITS = 256;
    private static final int SHOWN_NAMES = 20;

    private Values() {}

    static String describe(Object value) {
        if (value == null) {
            return "nothing";
        }
        if (value instanceof String text) {
            return "text \"" + shortened(text) + "\"";
        }
        if (value instanceof BigInteger number && number.bitLength() > SHOWN_BITS) {
            return "a number of " + number.bitLength() + " bits";
        }
        if (value instanceof Number) {
            return "number " + shortened(value.toString());
        }
        if (value instanceof Boolean) {
            return value.toString();
        }
        if (value instanceof List<?> list) {
            return "a list of " + list.size();
        }
        if (value instanceof Map<?, ?> map) {
            return "a map of " + map.size();
        }
        return "a value of unknown type";
    }

    static String oneOf(Collection<?> allowed) {
        if (allowed.isEmpty()) {
            return "nothing: none is defined";
        }
        String shown =
                allowed.stream()
                        .limit(SHOWN_NAMES)
                        .map(name -> shortened(name.toString()))
                        .collect(Collectors.joining(", "));
        int more = allowed.size() - SHOWN_NAMES;
        return "one of " + shown + (more > 0 ? " and " + more + " more" : "");
    }

    static String child(String path, Object key) {
        String name = shortened(String.valueOf(key));
        return path.isEmpty() ? name : path + "." + name;
    }

    static String element(String path, int index) {
        return path + "[" + index + "]";
    }

    private static String shortened(String text) {
        return text.length() <= SHOWN_CHARACTERS
                ? text
                : text.substring(0, SHOWN_CHARACTERS) + "...";
    }
}
