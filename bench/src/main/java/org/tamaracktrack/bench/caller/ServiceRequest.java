package org.tamaracktrack.bench.caller;

import java.net.URI;
import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * A request to a plain service.
 *
 * @param caller the client account that sends it
 * @param service the name of the service
 * @param method the HTTP method
 * @param path path and query at the service
 * @param body the request body, may be empty
 * @param idempotencyKey the idempotency key, if any
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
     * Returns the HTTP request that calls the service through an entry daemon.
     *
     * @param address IP address and port of the entry daemon
     * @return the HTTP request
     */
    public HttpRequest toHttp(String address) {
        return buildRequest("http://" + address + "/v1/services/" + service + path);
    }

    /**
     * Returns the HTTP request that calls the service directly.
     *
     * @param address IP address and port of the service
     * @return the HTTP request
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
