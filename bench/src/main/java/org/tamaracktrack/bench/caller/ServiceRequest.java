package org.tamaracktrack.bench.caller;

import java.net.URI;
import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * A call of a plain service.
 *
 * @param caller who asks
 * @param service the service
 * @param method the HTTP method
 * @param path path and query at the service
 * @param body the body
 * @param idempotencyKey the key of a call that may not be repeated
 */
public record ServiceRequest(
        CallerKey caller,
        String service,
        String method,
        String path,
        String body,
        Optional<String> idempotencyKey) {

    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    /** Checks the arguments. */
    public ServiceRequest {
        Objects.requireNonNull(caller, "caller is null");
        Objects.requireNonNull(service, "service is null");
    }

    /**
     * Returns the call as HTTP.
     *
     * @param address IP number and port of the server
     * @return the call
     */
    public HttpRequest toHttp(String address) {
        return buildRequest("http://" + address + "/v1/services/" + service + path);
    }

    /**
     * Returns the call as HTTP to the service itself.
     *
     * @param address IP number and port of the service
     * @return the call
     */
    public HttpRequest toDirectHttp(String address) {
        return buildRequest("http://" + address + path);
    }

    private HttpRequest buildRequest(String url) {
        URI uri = URI.create(url);
        HttpRequest.BodyPublisher content =
                body.isEmpty()
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofString(body);
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(uri)
                        .timeout(TIMEOUT)
                        .header("Authorization", "Bearer " + caller.key())
                        .method(method, content);
        idempotencyKey.ifPresent(key -> builder.header("Idempotency-Key", key));
        return builder.build();
    }
}
