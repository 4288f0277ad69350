package org.tamaracktrack.bench.caller;

import java.util.Objects;

/**
 * A client account as its callers know it.
 *
 * @param account its name
 * @param key the key that proves it
 */
public record CallerKey(String account, String key) {

    /** Checks the arguments. */
    public CallerKey {
        Objects.requireNonNull(account, "account is null");
        Objects.requireNonNull(key, "key is null");
    }
}
