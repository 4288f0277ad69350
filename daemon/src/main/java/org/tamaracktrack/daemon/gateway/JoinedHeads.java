package org.tamaracktrack.daemon.gateway;

import io.undertow.util.HeaderMap;
import java.util.regex.Pattern;
import java.util.stream.StreamSupport;

/**
 * Finds requests that a caller's connection carried behind the beginning of another one. Their
 * request line stands in a header of the first, which nobody sent as a whole.
 */
final class JoinedHeads {
    private static final String PROTOCOL = " HTTP/1.";

    /** The path, the asterisk or the address of a request line, and its protocol version. */
    private static final Pattern REQUEST_LINE_END =
            Pattern.compile("(^|\\s)(/\\S*|\\*|\\w*:?//\\S*) HTTP/1\\.\\d$");

    private JoinedHeads() {}

    /**
     * Returns whether a header's value ends with a request line.
     *
     * @param headers the headers of a request
     * @return whether it does
     */
    static boolean in(HeaderMap headers) {
        return StreamSupport.stream(headers.spliterator(), false)
                .flatMap(values -> values.stream())
                .anyMatch(JoinedHeads::endsWithRequestLine);
    }

    private static boolean endsWithRequestLine(String value) {
        int protocolStart = value.length() - PROTOCOL.length() - 1;
        return value.startsWith(PROTOCOL, protocolStart) && REQUEST_LINE_END.matcher(value).find();
    }
}
