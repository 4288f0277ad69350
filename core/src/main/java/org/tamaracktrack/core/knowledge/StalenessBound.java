package org.tamaracktrack.core.knowledge;

import java.util.Objects;

/**
 * The limits of the age of information about the store when a daemon acts on it.
 *
 * <p>A guarantee such as "no request reaches a target later than three seconds after it announced
 * that it leaves" counts from an event outside the daemon. Each step inside the daemon can be
 * delayed, so only the age at the time of use shows whether the guarantee still holds. The
 * information that the store is unavailable has an age of its own.
 *
 * @param maxAgeMillis largest age at which information is used while the store is available, in
 *     milliseconds
 * @param refreshAgeMillis age above which a read is requested, in milliseconds
 * @param maxUnavailableAgeMillis time after the store was last found unavailable for which older
 *     information is used, in milliseconds
 */
public record StalenessBound(
        long maxAgeMillis, long refreshAgeMillis, long maxUnavailableAgeMillis) {
    /** Share of the guaranteed time that is reserved for the delivery of a request to a target. */
    private static final double DELIVERY_SHARE = 0.2;

    private static final long MIN_DELIVERY_MILLIS = 400;

    /**
     * Time limit of a read. A read requested this long before the information becomes too old
     * reveals an outage in time.
     */
    private static final long READ_TIMEOUT_MILLIS = 800;

    /** Regular reads keep the age below this value, so no additional read is requested. */
    private static final long MIN_REFRESH_AGE_MILLIS = 1_050;

    /** Records from the relay may be this old before a daemon reads the store itself. */
    private static final long MIN_MAX_AGE_MILLIS = 1_400;

    /**
     * Returns the bound that satisfies a guarantee. Guarantees below 1.8 seconds are shorter than
     * regular reads require and hold only while no read is delayed.
     *
     * @param guaranteeMillis the time after a change by which daemons have to observe it, in
     *     milliseconds
     * @param settlingMillis the time after an outage of the store for which the guarantee is
     *     suspended, in milliseconds
     * @return the bound
     */
    public static StalenessBound of(long guaranteeMillis, long settlingMillis) {
        long deliveryMillis =
                Math.max(MIN_DELIVERY_MILLIS, (long) (guaranteeMillis * DELIVERY_SHARE));
        long maxAgeMillis = Math.max(MIN_MAX_AGE_MILLIS, guaranteeMillis - deliveryMillis);
        long refreshAgeMillis =
                Math.max(MIN_REFRESH_AGE_MILLIS, maxAgeMillis - READ_TIMEOUT_MILLIS);
        return new StalenessBound(maxAgeMillis, refreshAgeMillis, settlingMillis);
    }

    /**
     * Determines whether information may be used.
     *
     * @param freshness the freshness of the information
     * @param now the time of use
     * @return the staleness state
     */
    public StalenessState evaluate(StoreFreshness freshness, DualTimestamp now) {
        Objects.requireNonNull(freshness, "freshness is null");
        if (freshness.ageMillis(now) <= maxAgeMillis) {
            return StalenessState.FRESH;
        }
        return freshness.unavailableAgeMillis(now) <= maxUnavailableAgeMillis
                ? StalenessState.TOLERATED
                : StalenessState.STALE;
    }

    /**
     * Returns whether a read should be requested.
     *
     * @param freshness the freshness of the information
     * @param now the current time
     * @return true when both the information and the evidence of an outage, if any, are old
     */
    public boolean needsRefresh(StoreFreshness freshness, DualTimestamp now) {
        return freshness.ageMillis(now) > refreshAgeMillis
                && freshness.unavailableAgeMillis(now)
                        > Math.min(
                                refreshAgeMillis,
                                maxUnavailableAgeMillis - 2 * READ_TIMEOUT_MILLIS);
    }
}
