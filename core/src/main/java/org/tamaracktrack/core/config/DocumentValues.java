package org.tamaracktrack.core.config;

import java.math.BigInteger;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Describes values and paths of a document tree in problem messages for operators. */
final class DocumentValues {
    /**
     * Placeholder for a reference to a parameter without a value. The problem is reported where the
     * reference is substituted, so code that reads the placeholder reports nothing more.
     */
    static final Object UNRESOLVED = new Object();

    private static final int MAXIMUM_SHOWN_CHARACTERS = 60;
    private static final int MAXIMUM_SHOWN_BITS = 256;
    private static final int MAXIMUM_SHOWN_NAMES = 20;

    private DocumentValues() {}

    static String describe(Object value) {
        if (value == null) {
            return "nothing";
        }
        if (value instanceof String text) {
            return "text \"" + abbreviate(text) + "\"";
        }
        if (value instanceof BigInteger number && number.bitLength() > MAXIMUM_SHOWN_BITS) {
            return "a number of " + number.bitLength() + " bits";
        }
        if (value instanceof Number) {
            return "number " + abbreviate(value.toString());
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
                        .limit(MAXIMUM_SHOWN_NAMES)
                        .map(name -> abbreviate(name.toString()))
                        .collect(Collectors.joining(", "));
        int omitted = allowed.size() - MAXIMUM_SHOWN_NAMES;
        return "one of " + shown + (omitted > 0 ? " and " + omitted + " more" : "");
    }

    static String childPath(String path, Object key) {
        String name = abbreviate(String.valueOf(key));
        return path.isEmpty() ? name : path + "." + name;
    }

    static String elementPath(String path, int index) {
        return path + "[" + index + "]";
    }

    private static String abbreviate(String text) {
        return text.length() <= MAXIMUM_SHOWN_CHARACTERS
                ? text
                : text.substring(0, MAXIMUM_SHOWN_CHARACTERS) + "...";
    }
}
