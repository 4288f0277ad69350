package org.tamaracktrack.core.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Objects;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/**
 * Identifies equal requests by their destination and content. The origin is not included: a caller
 * may have several addresses, and no header identifies it.
 *
 * @param value 32 hexadecimal digits
 */
public record RequestFingerprint(String value) {
    private static final Pattern ALLOWED = Pattern.compile("[0-9a-f]{32}");
    private static final int BYTES = 16;

    /**
     * Checks the text.
     *
     * @throws TamaracktrackException with {@code BAD_IDENTIFIER} when the text is not a fingerprint
     */
    public RequestFingerprint {
        Objects.requireNonNull(value, "value is null");
        if (!ALLOWED.matcher(value).matches()) {
            throw TamaracktrackException.of(ErrorCode.BAD_IDENTIFIER, "not a fingerprint");
        }
    }

    /**
     * Returns the fingerprint of a request.
     *
     * @param method the HTTP method
     * @param host the host named in the request
     * @param path the path and query
     * @param body the body
     * @return the fingerprint
     */
    public static RequestFingerprint of(String method, String host, String path, byte[] body) {
        MessageDigest digest = digest();
        Stream.of(method, host, path)
                .map(text -> text.getBytes(StandardCharsets.UTF_8))
                .forEach(part -> update(digest, part));
        update(digest, body);
        return new RequestFingerprint(
                HexFormat.of().formatHex(Arrays.copyOf(digest.digest(), BYTES)));
    }

    // Each part is preceded by its length, so that different requests never yield the same sequence
    // of bytes.
    private static void update(MessageDigest digest, byte[] part) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, part.length));
        digest.update(part);
    }

    private static MessageDigest digest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException missing) {
            throw TamaracktrackException.of(
                    ErrorCode.INTERNAL, "SHA-256 is not available", missing);
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
