package org.tamaracktrack.core.knowledge;

import java.util.Objects;

/**
 * How up to date the information of a daemon about a part of the store is. Immutable.
 *
 * @param completeAt all records written before this time are known
 * @param unavailableAt when the read was requested that last showed the store to be unavailable;
 *     reads that failed because of a delay of this daemon itself do not count
 */
public record StoreFreshness(DualTimestamp completeAt, DualTimestamp unavailableAt) {
    private static final StoreFreshness UNKNOWN =
            new StoreFreshness(DualTimestamp.never(), DualTimestamp.never());

    /** Checks the arguments. */
    public StoreFreshness {
        Objects.requireNonNull(completeAt, "completeAt is null");
        Objects.requireNonNull(unavailableAt, "unavailableAt is null");
    }

    /**
     * Returns the freshness of a daemon that has not read the store.
     *
     * @return the freshness
     */
    public static StoreFreshness unknown() {
        return UNKNOWN;
    }

    /**
     * Returns the freshness after a successful read.
     *
     * @param newCompleteAt all records written before this time are known
     * @return the freshness; unchanged if an equally recent read is included already
     */
    public StoreFreshness afterRead(DualTimestamp newCompleteAt) {
        return newCompleteAt.steadyMillis() > completeAt.steadyMillis()
                ? new StoreFreshness(newCompleteAt, unavailableAt)
                : this;
    }

    /**
     * Returns the freshness after a read that failed because the store is unavailable.
     *
     * @param requestedAt when the read was requested
     * @return the freshness; unchanged if an equally recent failed read is included already
     */
    public StoreFreshness afterStoreUnavailable(DualTimestamp requestedAt) {
        return requestedAt.steadyMillis() > unavailableAt.steadyMillis()
                ? new StoreFreshness(completeAt, requestedAt)
                : this;
    }

    /**
     * Returns the age of the information.
     *
     * @param now the current time
     * @return the age in milliseconds; very large when nothing was read
     */
    public long ageMillis(DualTimestamp now) {
        return now.millisSince(completeAt);
    }

    /**
     * Returns the time since the store was last found unavailable.
     *
     * @param now the current time
     * @return the time in milliseconds; very large when it never was unavailable
     */
    public long unavailableAgeMillis(DualTimestamp now) {
        return now.millisSince(unavailableAt);
    }
}
