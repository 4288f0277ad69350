package org.tamaracktrack.core.account;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Finds the owner of a client key by the key's digest, in constant time. Callers cannot choose the
 * digest of what they send, so the duration of a look-up reveals nothing about the keys.
 *
 * <p>A key that two owners claim authenticates neither: otherwise the callers of one could act as
 * the other.
 *
 * @param <T> the type of the owners
 */
public final class KeyDirectory<T> {
    private final Map<KeyDigest, T> owners;
    private final Set<T> conflicting;

    private KeyDirectory(Map<KeyDigest, T> owners, Set<T> conflicting) {
        this.owners = owners;
        this.conflicting = conflicting;
    }

    /**
     * Returns a directory of the keys of some owners.
     *
     * @param owners the owners
     * @param keys returns the digests of the keys of an owner
     * @param <T> the type of the owners
     * @return the directory
     */
    public static <T> KeyDirectory<T> of(
            Collection<T> owners, Function<T, ? extends Collection<KeyDigest>> keys) {
        Objects.requireNonNull(owners, "owners is null");
        Objects.requireNonNull(keys, "keys is null");
        Map<KeyDigest, T> found = new HashMap<>();
        Set<KeyDigest> ambiguous = new LinkedHashSet<>();
        Set<T> conflicting = new LinkedHashSet<>();
        for (T owner : owners) {
            for (KeyDigest key : Set.copyOf(keys.apply(owner))) {
                T first = found.putIfAbsent(key, owner);
                if (first != null) {
                    ambiguous.add(key);
                    conflicting.add(first);
                    conflicting.add(owner);
                }
            }
        }
        found.keySet().removeAll(ambiguous);
        return new KeyDirectory<>(Map.copyOf(found), Set.copyOf(conflicting));
    }

    /**
     * Returns the owner of a key.
     *
     * @param key the digest of the key
     * @return the owner; empty when the key is unknown or claimed by several owners
     */
    public Optional<T> find(KeyDigest key) {
        return Optional.ofNullable(owners.get(key));
    }

    /**
     * Returns the owners that claim a key which another owner claims, too.
     *
     * @return the owners; empty in a consistent configuration
     */
    public Set<T> conflicting() {
        return conflicting;
    }
}
