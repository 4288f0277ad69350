package org.tamaracktrack.link.http;

import java.util.Map;
import java.util.Objects;

/**
 * A complete HTTP response.
 *
 * @param status the HTTP status
 * @param headers the first value of each header by its name in lower case
 * @param body the body
 */
public record HttpResponse(int status, Map<String, String> headers, byte[] body) {

    /** Checks the arguments. */
    public HttpResponse {
        Objects.requireNonNull(body, "body is null");
        headers = Map.copyOf(headers);
    }
}
