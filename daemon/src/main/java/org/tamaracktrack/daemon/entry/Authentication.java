package org.tamaracktrack.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/** Finds the client account that a key proves. */
final class Authentication {
    private static final String SCHEME = "bearer ";

    private Authentication() {}

    static Configuration.ClientAccount account(
            Configuration configuration, Optional<String> authorization) {
        byte[] hash =
                authorization
                        .filter(text -> text.regionMatches(true, 0, SCHEME, 0, SCHEME.length()))
                        .map(text -> Hashes.sha256(text.substring(SCHEME.length()).trim()))
                        .map(text -> text.getBytes(StandardCharsets.US_ASCII))
                        .orElseThrow(Authentication::refused);
        // A comparison that ends at the first wrong byte tells a stranger by its duration how much
        // of a hash was right; every key is compared, and each in constant time.
        Configuration.ClientAccount found = null;
        for (Configuration.ClientAccount account : configuration.accounts().values()) {
            for (String keyHash : account.keyHashes()) {
                if (MessageDigest.isEqual(hash, keyHash.getBytes(StandardCharsets.US_ASCII))) {
                    found = account;
                }
            }
        }
        return Optional.ofNullable(found).orElseThrow(Authentication::refused);
    }

    private static TamaracktrackException refused() {
        return TamaracktrackException.of(
                ErrorCode.UNAUTHENTICATED, "send Authorization: Bearer with a valid key");
    }
}
