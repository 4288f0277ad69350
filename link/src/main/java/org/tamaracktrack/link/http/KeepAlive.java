package org.tamaracktrack.link.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Determines how long a connection may be reused, from the headers of a response. */
final class KeepAlive {
    private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");
    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 10_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    /** The time before the server closes a connection in which it is no longer reused. */
    private static final long MARGIN_MILLIS = 500;

    private KeepAlive() {}

    /**
     * Returns for how many milliseconds the connection may be reused; 0 if it must not be reused.
     */
    static long millis(HeaderMap headers) {
        String connection = Optional.ofNullable(headers.getFirst(Headers.CONNECTION)).orElse("");
        if (connection.equalsIgnoreCase("close")) {
            return 0;
        }
        String keepAlive = Optional.ofNullable(headers.getFirst(Headers.KEEP_ALIVE)).orElse("");
        Matcher matcher = TIMEOUT.matcher(keepAlive);
        if (!matcher.find()) {
            return DEFAULT_KEEP_ALIVE_MILLIS;
        }
        long seconds = Long.parseLong(matcher.group(1));
        return Math.max(0, seconds * MILLIS_PER_SECOND - MARGIN_MILLIS);
    }
}
