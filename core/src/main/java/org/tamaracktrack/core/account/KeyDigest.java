package org.tamaracktrack.core.account;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Objects;
import java.util.regex.Pattern;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/**
 * The SHA-256 digest of a client key. Configurations in memory contain digests only, so that a key
 * can't reach a log, a metric or another process by way of them.
 *
 * @param hexadecimal the digest in lower-case hexadecimal
 */
public record KeyDigest(String hexadecimal) {
    private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");

    /**
     * Checks the text.
     *
     * @throws TamaracktrackException with {@code BAD_IDENTIFIER} when the text is not a SHA-256
     *     digest in lower-case hexadecimal
     */
    public KeyDigest {
        Objects.requireNonNull(hexadecimal, "hexadecimal is null");
        if (!SHA_256.matcher(hexadecimal).matches()) {
            throw TamaracktrackException.of(ErrorCode.BAD_IDENTIFIER, "not a SHA-256 digest");
        }
    }

    /**
     * Returns the digest with a given value.
     *
     * @param hexadecimal the digest in hexadecimal, in upper or lower case
     * @return the digest
     */
    public static KeyDigest of(String hexadecimal) {
        return new KeyDigest(hexadecimal.toLowerCase(Locale.ROOT));
    }

    /**
     * Returns the digest of a key.
     *
     * @param key the key
     * @return its digest
     */
    public static KeyDigest ofKey(String key) {
        Objects.requireNonNull(key, "key is null");
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(key.getBytes(StandardCharsets.UTF_8));
            return new KeyDigest(HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException failure) {
            throw TamaracktrackException.of(ErrorCode.INTERNAL, "no SHA-256", failure);
        }
    }

    /** Returns a text without the digest, which would allow a short key to be guessed. */
    @Override
    public String toString() {
        return "KeyDigest";
    }
}
