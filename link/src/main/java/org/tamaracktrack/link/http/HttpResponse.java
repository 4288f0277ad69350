package org.tamaracktrack.link.http;

import java.util.Map;
import java.util.Objects;

/**
 * A whole answer.
 *
 * @param status the HTTP status
 * @param headers the headers, names in lower case, the first value of each
 * @param body the body
 */
public record HttpResponse(int status, Map<String, String> headers, byte[] body) {

    /** Checks the arguments. */
    public HttpResponse {
        Objects.requireNonNull(body, "body is null");
        headers = Map.copyOf(headers);
    }
}
