package org.tamaracktrack.core.claim;

import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/**
 * Determines when an idempotency key was created, as far as the key or its caller states it, and
 * whether that is too long ago.
 */
public final class KeyAge {
    private static final int TIME_ORDERED_UUID_VERSION = 7;
    private static final int UUID_LENGTH = 36;
    private static final int UUID_TIME_SHIFT = 16;
    private static final long MAXIMUM_MARGIN_MILLIS = 60_000;
    private static final int MARGIN_DIVISOR = 10;

    private KeyAge() {}

    /**
     * Returns the time at which a key was created.
     *
     * @param key the key; a UUID of version 7 contains its time of creation
     * @param created the time in RFC 3339 format that the caller sent with the key, if any
     * @return milliseconds since 1970; empty when neither the key nor the caller states a time
     * @throws TamaracktrackException with {@code BAD_REQUEST} when the time cannot be parsed
     */
    public static OptionalLong createdAtMillis(String key, Optional<String> created) {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(created, "created is null");
        return created.map(text -> OptionalLong.of(parseTime(text)))
                .orElseGet(() -> timeInKey(key));
    }

    private static long parseTime(String text) {
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
            return uuid.version() == TIME_ORDERED_UUID_VERSION
                    ? OptionalLong.of(uuid.getMostSignificantBits() >>> UUID_TIME_SHIFT)
                    : OptionalLong.empty();
        } catch (IllegalArgumentException notUuid) {
            return OptionalLong.empty();
        }
    }

    /**
     * Returns the reason to refuse a key because of its age: it is too old or its time is in the
     * future.
     *
     * @param createdAtMillis when the key was created, if known
     * @param nowMillis the current time in milliseconds since 1970
     * @param windowMillis how long keys are remembered, in milliseconds
     * @return the error, or empty when the age is acceptable
     */
    public static Optional<ErrorCode> check(
            OptionalLong createdAtMillis, long nowMillis, long windowMillis) {
        if (createdAtMillis.isEmpty()) {
            return Optional.empty();
        }
        // The clocks of the caller and the log differ. The margin shortens the window for old keys
        // and bounds how far in the future a key may be. A key that is accepted twice is therefore
        // still remembered from the first time when it is accepted the second time.
        long margin = Math.min(MAXIMUM_MARGIN_MILLIS, windowMillis / MARGIN_DIVISOR);
        long age = nowMillis - createdAtMillis.getAsLong();
        if (age < -margin) {
            return Optional.of(ErrorCode.BAD_REQUEST);
        }
        return age > windowMillis - margin ? Optional.of(ErrorCode.KEY_EXPIRED) : Optional.empty();
    }
}
