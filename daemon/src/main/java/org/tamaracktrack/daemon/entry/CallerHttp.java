package org.tamaracktrack.daemon.entry;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A caller's HTTP request as read.
 *
 * @param method the method
 * @param path the path, not decoded
 * @param query the query with its question mark, or nothing
 * @param headers the headers, names in lower case, the first value of each
 * @param body the body
 */
record CallerHttp(
        String method, String path, String query, Map<String, String> headers, byte[] body) {

    CallerHttp {
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(body, "body is null");
        headers = Map.copyOf(headers);
    }

    Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    CallerHttp withBody(byte[] newBody) {
        return new CallerHttp(method, path, query, headers, newBody);
    }
}
