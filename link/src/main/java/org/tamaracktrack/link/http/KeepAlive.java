package org.tamaracktrack.link.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** How long a server keeps an idle connection, by what its answer says. */
final class KeepAlive {
    private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");
    private static final long UNSTATED_MILLIS = 10_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    /** A connection is left alone this long before its server closes it. */
    private static final long MARGIN_MILLIS = 500;

    private KeepAlive() {}

    /** Returns how long the connection may be used again; 0 for not at all. */
    static long millis(HeaderMap headers) {
        String connection = Optional.ofNullable(headers.getFirst(Headers.CONNECTION)).orElse("");
        if (connection.equalsIgnoreCase("close")) {
            return 0;
        }
        String stated = Optional.ofNullable(headers.getFirst(Headers.KEEP_ALIVE)).orElse("");
        Matcher matcher = TIMEOUT.matcher(stated);
        if (!matcher.find()) {
            return UNSTATED_MILLIS;
        }
        long seconds = Long.parseLong(matcher.group(1));
        return Math.max(0, seconds * MILLIS_PER_SECOND - MARGIN_MILLIS);
    }
}
