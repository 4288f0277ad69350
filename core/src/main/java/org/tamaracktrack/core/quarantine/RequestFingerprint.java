package org.tamaracktrack.core.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.tamaracktrack.core.error.TamaracktrackException;

/**
 * Identifies equal requests by their destination and content. The origin is not included: a caller
 * may have several addresses, and no header identifies it.
 *
 * @param value 32 hexadecimal digits
 */
public record RequestFingerprint(String value) implements Suspect {
    private static final HoldPolicy HOLD_POLICY = RequestHoldPolicy.of();

    /**
     * Checks the text.
     *
     * @throws TamaracktrackException with {@code BAD_IDENTIFIER} when the text is not a fingerprint
     */
    public RequestFingerprint {
        Objects.requireNonNull(value, "value is null");
        Fingerprints.check(value);
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
        return new RequestFingerprint(
                Fingerprints.of(
                        method.getBytes(StandardCharsets.UTF_8),
                        host.getBytes(StandardCharsets.UTF_8),
                        path.getBytes(StandardCharsets.UTF_8),
                        body));
    }

    @Override
    public String key() {
        return value;
    }

    @Override
    public HoldPolicy holdPolicy() {
        return HOLD_POLICY;
    }

    @Override
    public String toString() {
        return value;
    }
}
