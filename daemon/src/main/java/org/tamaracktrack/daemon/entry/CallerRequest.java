package org.tamaracktrack.daemon.entry;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.core.routing.RoutingQuery;

/**
 * A caller's request, checked.
 *
 * @param account who asks
 * @param requestClass the class whose objectives hold
 * @param query what it needs of a target
 * @param idempotent whether it may be run again
 * @param key the idempotency key, for a request that needs a claim
 * @param stream whether the caller reads a stream
 * @param method the HTTP method towards the target
 * @param path path and query towards the target
 * @param headers headers to pass on
 * @param body the body
 * @param estimatedTokens the estimated cost
 */
record CallerRequest(
        Configuration.ClientAccount account,
        Configuration.RequestClass requestClass,
        RoutingQuery query,
        boolean idempotent,
        Optional<Key> key,
        boolean stream,
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
     * @param keyHash its hash
     * @param requestHash the hash of method, path and body
     * @param createdAtMillis when it was made, if that is known
     */
    record Key(String keyHash, String requestHash, OptionalLong createdAtMillis) {}

    Message.CallKind kind() {
        return query.model().isPresent() ? Message.CallKind.MODEL : Message.CallKind.SERVICE;
    }

    /** The model or service as it is named in counters. */
    String destination() {
        return query.model()
                .map(Object::toString)
                .orElseGet(() -> query.service().orElseThrow().value());
    }
}
