package org.tamaracktrack.core.claim;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Objects;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.ClientAccountId;

/**
 * A hash of a client account and its idempotency key in 16 bytes, which is all that a daemon stores
 * of each key in the window.
 *
 * @param high the first 8 bytes of the hash of account and key
 * @param low the next 8 bytes of the hash
 */
public record ClaimKey(long high, long low) {

    /**
     * Returns the key of a client account. The same text from another account gives another key.
     *
     * @param account the client account
     * @param keyHash the hash of the idempotency key
     * @return the key
     */
    public static ClaimKey of(ClientAccountId account, String keyHash) {
        Objects.requireNonNull(account, "account is null");
        Objects.requireNonNull(keyHash, "keyHash is null");
        ByteBuffer digest =
                ByteBuffer.wrap(
                        sha256((account + "\n" + keyHash).getBytes(StandardCharsets.UTF_8)));
        return new ClaimKey(digest.getLong(), digest.getLong());
    }

    private static byte[] sha256(byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (NoSuchAlgorithmException failure) {
            throw TamaracktrackException.of(
                    ErrorCode.INTERNAL, "SHA-256 is not available", failure);
        }
    }
}
