package org.tamaracktrack.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/** Computes SHA-256 hashes in lower-case hexadecimal. */
final class Hashes {
    private Hashes() {}

    static String sha256(String text) {
        return sha256(text.getBytes(StandardCharsets.UTF_8));
    }

    static String sha256(byte[]... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            Arrays.stream(parts).forEach(digest::update);
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException failure) {
            throw TamaracktrackException.of(ErrorCode.INTERNAL, "no SHA-256", failure);
        }
    }
}
