package org.tamaracktrack.link.http;

/**
 * Finds the beginning of a status line in a sequence of bytes. Undertow's parser takes a status
 * line inside a head for a part of a header or of the reason phrase. Used by a single thread.
 */
final class StatusLineMatcher {
    /** A zero stands for a digit, a space at the end for what ends the status. */
    private static final String PATTERN = "HTTP/1.0 000 ";

    private int matched;

    private StatusLineMatcher() {}

    static StatusLineMatcher of() {
        return new StatusLineMatcher();
    }

    void reset() {
        matched = 0;
    }

    /**
     * Adds a byte.
     *
     * @param value the byte
     * @return whether the bytes end with a protocol version and a status
     */
    boolean add(byte value) {
        if (accepts(matched, value)) {
            matched++;
        } else {
            // The first character occurs only once in the pattern.
            matched = accepts(0, value) ? 1 : 0;
        }
        if (matched < PATTERN.length()) {
            return false;
        }
        matched = 0;
        return true;
    }

    private static boolean accepts(int index, byte value) {
        char expected = PATTERN.charAt(index);
        if (expected == '0') {
            return value >= '0' && value <= '9';
        }
        boolean last = index == PATTERN.length() - 1;
        return value == expected || (last && (value == '\r' || value == '\n'));
    }
}
