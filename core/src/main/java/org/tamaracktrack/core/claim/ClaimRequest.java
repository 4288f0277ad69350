package org.tamaracktrack.core.claim;

import java.util.Objects;
import java.util.OptionalLong;
import org.tamaracktrack.core.id.ClientAccountId;

/**
 * A request with an idempotency key that is to run.
 *
 * @param ticket the number of the request within its daemon
 * @param account the client account that owns the key
 * @param keyHash the hash of the idempotency key
 * @param requestHash the hash of method, path and body
 * @param createdAtMillis when the caller created the key, in milliseconds since 1970, if known
 */
public record ClaimRequest(
        long ticket,
        ClientAccountId account,
        String keyHash,
        String requestHash,
        OptionalLong createdAtMillis) {

    /** Checks the arguments. */
    public ClaimRequest {
        Objects.requireNonNull(account, "account is null");
        Objects.requireNonNull(keyHash, "keyHash is null");
        Objects.requireNonNull(requestHash, "requestHash is null");
        Objects.requireNonNull(createdAtMillis, "createdAtMillis is null");
    }
}
