package org.tamaracktrack.core.account;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.tamaracktrack.core.id.ClientAccountId;

/**
 * A client account of the serving configuration.
 *
 * @param id its name
 * @param keys the digests of the keys that authenticate its callers
 * @param priority its priority, which replaces that of the route; 0 is the highest
 * @param quota the limit on its requests; empty for no limit
 */
public record Account(
        ClientAccountId id, Set<KeyDigest> keys, OptionalInt priority, Optional<Quota> quota) {

    /** Checks the arguments. */
    public Account {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(priority, "priority is null");
        Objects.requireNonNull(quota, "quota is null");
        keys = Set.copyOf(keys);
    }
}
