package org.tamaracktrack.daemon.target;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tamaracktrack.daemon.connection.ConnectionHeaders;

/** Selects the headers of an answer that are forwarded to the entry daemon. */
final class AnswerHeaders {
    private static final int MAXIMUM_COUNT = 32;
    private static final int MAXIMUM_LENGTH = 1_024;

    private AnswerHeaders() {}

    static Map<String, String> forwardable(Map<String, String> headers) {
        Map<String, String> forwarded = new LinkedHashMap<>();
        headers.entrySet().stream()
                .filter(header -> !ConnectionHeaders.contains(header.getKey()))
                .filter(
                        header ->
                                header.getKey().length() + header.getValue().length()
                                        <= MAXIMUM_LENGTH)
                .limit(MAXIMUM_COUNT)
                .forEach(header -> forwarded.put(header.getKey(), header.getValue()));
        return forwarded;
    }
}
