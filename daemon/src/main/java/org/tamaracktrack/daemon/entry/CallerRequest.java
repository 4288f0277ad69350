package org.tamaracktrack.daemon.entry;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.core.routing.RoutingQuery;

/**
 * A caller's request after validation.
 *
 * @param account the client account of the caller
 * @param requestClass the request class, whose objectives apply
 * @param routingQuery the requirements on a target
 * @param idempotent whether the request may be run more than once
 * @param idempotencyKey the idempotency key, if the request must claim one before it runs
 * @param streaming whether the caller requested a streamed answer
 * @param method the HTTP method sent to the target
 * @param path the path and query sent to the target
 * @param headers the headers forwarded to the target
 * @param body the body
 * @param estimatedTokens the estimated cost, in tokens
 */
record CallerRequest(
        Configuration.ClientAccount account,
        Configuration.RequestClass requestClass,
        RoutingQuery routingQuery,
        boolean idempotent,
        Optional<IdempotencyKey> idempotencyKey,
        boolean streaming,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        int estimatedTokens) {

    CallerRequest {
        Objects.requireNonNull(account, "account is null");
        Objects.requireNonNull(requestClass, "requestClass is null");
        headers = Map.copyOf(headers);
    }

    /**
     * An idempotency key.
     *
     * @param keyHash the hash of the key
     * @param requestHash the hash of method, path, query and body
     * @param createdAtMillis when the key was created, in milliseconds since the epoch, if known
     */
    record IdempotencyKey(String keyHash, String requestHash, OptionalLong createdAtMillis) {}

    Message.CallKind kind() {
        return routingQuery.model().isPresent() ? Message.CallKind.MODEL : Message.CallKind.SERVICE;
    }

    /** Returns the name of the model or service, as used in counter names. */
    String destination() {
        return routingQuery
                .model()
                .map(Object::toString)
                .orElseGet(() -> routingQuery.service().orElseThrow().value());
    }
}
