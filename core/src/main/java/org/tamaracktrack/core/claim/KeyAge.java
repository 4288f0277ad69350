package org.tamaracktrack.core.claim;

import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/** When a key was made, as far as it or its caller tells, and whether that is too long ago. */
public final class KeyAge {
    private static final int TIME_ORDERED_VERSION = 7;
    private static final int UUID_LENGTH = 36;
    private static final int TIME_SHIFT = 16;
    private static final long LONGEST_MARGIN_MILLIS = 60_000;
    private static final int MARGIN_PART = 10;

    private KeyAge() {}

    /**
     * Reads when a key was made.
     *
     * @param key the key; a UUID of version 7 carries its time
     * @param created the time in RFC 3339 that the caller sent with it, if any
     * @return milliseconds since 1970; empty when neither says
     * @throws TamaracktrackException with {@code BAD_REQUEST} when the time is not readable
     */
    public static OptionalLong createdAtMillis(String key, Optional<String> created) {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(created, "created is null");
        return created.map(text -> OptionalLong.of(timeOf(text))).orElseGet(() -> timeInKey(key));
    }

    private static long timeOf(String text) {
        try {
            return OffsetDateTime.parse(text).toInstant().toEpochMilli();
        } catch (DateTimeException failure) {
            throw TamaracktrackException.of(
                    ErrorCode.BAD_REQUEST, "Idempotency-Key-Created is not RFC 3339", failure);
        }
    }

    private static OptionalLong timeInKey(String key) {
        if (key.length() != UUID_LENGTH) {
            return OptionalLong.empty();
        }
        try {
            UUID uuid = UUID.fromString(key);
            return uuid.version() == TIME_ORDERED_VERSION
                    ? OptionalLong.of(uuid.getMostSignificantBits() >>> TIME_SHIFT)
                    : OptionalLong.empty();
        } catch (IllegalArgumentException notUuid) {
            return OptionalLong.empty();
        }
    }

    /**
     * Returns whether a key is too old, or not from this side of time.
     *
     * @param createdAtMillis when it was made, if known
     * @param nowMillis the time
     * @param windowMillis how long keys are remembered
     * @return what is wrong with it, if anything is
     */
    public static Optional<ErrorCode> check(
            OptionalLong createdAtMillis, long nowMillis, long windowMillis) {
        if (createdAtMillis.isEmpty()) {
            return Optional.empty();
        }
        // The caller's clock and the log's differ. The margin is taken off the window at one end
        // and bounds a key from the future at the other, so that a key that passes twice is, at
        // the second time, still remembered from the first.
        long margin = Math.min(LONGEST_MARGIN_MILLIS, windowMillis / MARGIN_PART);
        long age = nowMillis - createdAtMillis.getAsLong();
        if (age < -margin) {
            return Optional.of(ErrorCode.BAD_REQUEST);
        }
        return age > windowMillis - margin ? Optional.of(ErrorCode.KEY_EXPIRED) : Optional.empty();
    }
}
