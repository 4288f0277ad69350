package org.tamaracktrack.daemon.target;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Which headers of an answer are passed on to the entry daemon. */
final class AnswerHeaders {
    private static final int MAXIMUM_COUNT = 32;
    private static final int MAXIMUM_LENGTH = 1_024;
    private static final Set<String> OF_THE_CONNECTION =
            Set.of(
                    "connection",
                    "content-length",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    private AnswerHeaders() {}

    static Map<String, String> passedOn(Map<String, String> headers) {
        Map<String, String> passed = new LinkedHashMap<>();
        headers.entrySet().stream()
                .filter(header -> !OF_THE_CONNECTION.contains(header.getKey()))
                .filter(
                        header ->
                                header.getKey().length() + header.getValue().length()
                                        <= MAXIMUM_LENGTH)
                .limit(MAXIMUM_COUNT)
                .forEach(header -> passed.put(header.getKey(), header.getValue()));
        return passed;
    }
}
