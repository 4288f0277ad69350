package org.tamaracktrack.bench.caller;

import java.util.Objects;

/**
 * Name and key of a client account, as a caller needs them.
 *
 * @param account the name of the account
 * @param key the key that authenticates the account
 */
public record CallerKey(String account, String key) {

    /** Checks the arguments. */
    public CallerKey {
        Objects.requireNonNull(account, "account is null");
        Objects.requireNonNull(key, "key is null");
    }
}
