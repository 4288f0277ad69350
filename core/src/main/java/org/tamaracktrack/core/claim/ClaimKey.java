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
 * A client account's key in 16 bytes: what a daemon keeps of each key in the window.
 *
 * @param high the first half of the hash of account and key
 * @param low the second half
 */
public record ClaimKey(long high, long low) {

    /**
     * Returns the key of an account. The same text from another account is another key.
     *
     * @param account the account
     * @param keyHash the hash of the key
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
            throw TamaracktrackException.of(ErrorCode.INTERNAL, "no SHA-256", failure);
        }
    }
}
