package org.tamaracktrack.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/** Authenticates a client account by the key that the caller sends as a bearer token. */
final class Authentication {
    private static final String SCHEME = "bearer ";

    private Authentication() {}

    static Configuration.ClientAccount authenticate(
            Configuration configuration, Optional<String> authorization) {
        byte[] hash =
                authorization
                        .filter(text -> text.regionMatches(true, 0, SCHEME, 0, SCHEME.length()))
                        .map(text -> Hashes.sha256(text.substring(SCHEME.length()).trim()))
                        .map(text -> text.getBytes(StandardCharsets.US_ASCII))
                        .orElseThrow(Authentication::unauthenticated);
        // Compares every key, each in constant time: a comparison that stops at the first
        // different byte would reveal through its duration how much of a hash was right.
        Configuration.ClientAccount found = null;
        for (Configuration.ClientAccount account : configuration.accounts().values()) {
            for (String keyHash : account.keyHashes()) {
                if (MessageDigest.isEqual(hash, keyHash.getBytes(StandardCharsets.US_ASCII))) {
                    found = account;
                }
            }
        }
        return Optional.ofNullable(found).orElseThrow(Authentication::unauthenticated);
    }

    private static TamaracktrackException unauthenticated() {
        return TamaracktrackException.of(
                ErrorCode.UNAUTHENTICATED, "send Authorization: Bearer with a valid key");
    }
}
