package org.tamaracktrack.daemon.entry;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A caller's HTTP request as received, before validation.
 *
 * @param method the HTTP method
 * @param path the path, not decoded
 * @param query the query string with its leading question mark, or an empty string
 * @param headers the headers by name in lower case, with the first value of each
 * @param body the body
 */
record CallerHttpRequest(
        String method, String path, String query, Map<String, String> headers, byte[] body) {

    CallerHttpRequest {
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(body, "body is null");
        headers = Map.copyOf(headers);
    }

    Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    CallerHttpRequest withBody(byte[] newBody) {
        return new CallerHttpRequest(method, path, query, headers, newBody);
    }
}
