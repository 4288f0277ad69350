package org.tamaracktrack.core.claim;

import java.util.Objects;
import java.util.OptionalLong;
import org.tamaracktrack.core.id.ClientAccountId;

/**
 * A keyed request that wants to run.
 *
 * @param ticket the request's number within its daemon
 * @param account whose key it is
 * @param keyHash the hash of the key
 * @param requestHash the hash of method, path and body
 * @param createdAtMillis when the caller made the key, in milliseconds since 1970, if it says so
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
