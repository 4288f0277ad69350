package org.tamaracktrack.standins.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/** Computes SHA-256 hashes in lower-case hexadecimal. */
public final class Sha256 {
    private Sha256() {}

    /**
     * Returns the hash of the UTF-8 encoding of a text.
     *
     * @param text the text
     * @return the hash in hex
     */
    public static String hex(String text) {
        return hex(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the hash of bytes.
     *
     * @param bytes the bytes
     * @return the hash in hex
     */
    public static String hex(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException impossible) {
            throw TamaracktrackException.of(
                    ErrorCode.INTERNAL, "SHA-256 is not available", impossible);
        }
    }
}
