package org.tamaracktrack.daemon.gateway;

import java.util.Objects;
import org.tamaracktrack.core.knowledge.DualTimestamp;
import org.tamaracktrack.core.knowledge.StalenessBound;
import org.tamaracktrack.core.knowledge.StoreFreshness;

/**
 * Whether the configuration is recent enough to accept the keys that it contains. Under strict
 * revocation a removed key must stop working within a fixed time even on a daemon that no longer
 * receives configurations, so that daemon accepts no keys at all. Thread-safe.
 */
public final class KeyFreshness {
    private static final KeyFreshness NOT_REQUIRED =
            new KeyFreshness(new NoSource(), Long.MAX_VALUE);

    private final FreshnessSource source;
    private final long maxAgeMillis;

    private KeyFreshness(FreshnessSource source, long maxAgeMillis) {
        this.source = source;
        this.maxAgeMillis = maxAgeMillis;
    }

    /**
     * Returns a requirement that is always met.
     *
     * @return the requirement
     */
    public static KeyFreshness notRequired() {
        return NOT_REQUIRED;
    }

    /**
     * Returns the requirement without strict revocation: keys are accepted at any age, which is
     * only logged.
     *
     * @param source reports how old the configuration is
     * @return the requirement
     */
    public static KeyFreshness logged(FreshnessSource source) {
        Objects.requireNonNull(source, "source is null");
        return new KeyFreshness(source, Long.MAX_VALUE);
    }

    /**
     * Returns the requirement of strict revocation.
     *
     * @param source reports how old the configuration is
     * @param revocationMillis the time within which a removed key must stop working, in
     *     milliseconds; part of it is reserved for the delivery of the request
     * @return the requirement
     */
    public static KeyFreshness within(FreshnessSource source, long revocationMillis) {
        Objects.requireNonNull(source, "source is null");
        return new KeyFreshness(source, StalenessBound.of(revocationMillis, 0).maxAgeMillis());
    }

    boolean confirmed(DualTimestamp now) {
        return maxAgeMillis == Long.MAX_VALUE || ageMillis(now) <= maxAgeMillis;
    }

    long ageMillis(DualTimestamp now) {
        return source.freshness().ageMillis(now);
    }

    private static final class NoSource implements FreshnessSource {
        @Override
        public StoreFreshness freshness() {
            return StoreFreshness.unknown();
        }

        @Override
        public void refresh() {
            // There is nothing to read.
        }
    }
}
