package org.tamaracktrack.core.quarantine;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/** Digests of fixed length, of which equal content has equal ones. */
final class Fingerprints {
    private static final Pattern ALLOWED = Pattern.compile("[0-9a-f]{32}");
    private static final int BYTES = 16;

    private Fingerprints() {}

    static String of(byte[]... fields) {
        MessageDigest digest = digest();
        Stream.of(fields).forEach(field -> update(digest, field));
        return HexFormat.of().formatHex(Arrays.copyOf(digest.digest(), BYTES));
    }

    static void check(String value) {
        if (!ALLOWED.matcher(value).matches()) {
            throw TamaracktrackException.of(ErrorCode.BAD_IDENTIFIER, "not a fingerprint");
        }
    }

    // Each field is preceded by its length, so that different fields never yield the same sequence
    // of bytes.
    private static void update(MessageDigest digest, byte[] field) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, field.length));
        digest.update(field);
    }

    private static MessageDigest digest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException missing) {
            throw TamaracktrackException.of(
                    ErrorCode.INTERNAL, "SHA-256 is not available", missing);
        }
    }
}
