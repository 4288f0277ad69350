package org.tamaracktrack.core.account;

import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the client key from the {@code Authorization} header, with the scheme {@code Bearer}. */
public final class BearerToken {
    private static final int MAX_HEADER_CHARACTERS = 1_024;

    /** The credentials of RFC 6750, with any number of spaces before the token. */
    private static final Pattern CREDENTIALS =
            Pattern.compile("(?i)bearer +(?<token>[A-Za-z0-9._~+/-]+=*)");

    private BearerToken() {}

    /**
     * Returns the digest of the key that a request carries.
     *
     * @param headerValues all values of the request's {@code Authorization} headers
     * @return the digest; empty when there is no header, more than one, or a malformed one, since
     *     other processes on the path could then take another value for the key
     */
    public static Optional<KeyDigest> parse(List<String> headerValues) {
        Objects.requireNonNull(headerValues, "headerValues is null");
        if (headerValues.size() != 1 || headerValues.get(0).length() > MAX_HEADER_CHARACTERS) {
            return Optional.empty();
        }
        Matcher matcher = CREDENTIALS.matcher(headerValues.get(0).strip());
        return matcher.matches()
                ? Optional.of(KeyDigest.ofKey(matcher.group("token")))
                : Optional.empty();
    }

    /**
     * Describes a header without its value, for logs.
     *
     * @param headerValues all values of the request's {@code Authorization} headers
     * @return {@code missing}, {@code repeated}, {@code malformed} or {@code unknown_key}
     */
    public static String describeRejected(List<String> headerValues) {
        if (headerValues.isEmpty()) {
            return Rejection.MISSING.text();
        }
        if (headerValues.size() > 1) {
            return Rejection.REPEATED.text();
        }
        return (parse(headerValues).isEmpty() ? Rejection.MALFORMED : Rejection.UNKNOWN_KEY).text();
    }

    private enum Rejection {
        MISSING,
        REPEATED,
        MALFORMED,
        UNKNOWN_KEY;

        private String text() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
