package org.tamaracktrack.core.rate;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class RequestRateLimiterTest {

    @Property(seed = "51", tries = 100)
    void shouldAdmitRateWithBurstOfAtMostOneSecond(
            @ForAll @IntRange(min = 1, max = 500) int rate,
            @ForAll @IntRange(min = 1, max = 20) int seconds) {
        RequestRateLimiter limiter = RequestRateLimiter.full(0);
        int admitted = 0;
        for (long now = 0; now < seconds * 1_000L; now++) {
            admitted += limiter.tryAcquire(rate, now) ? 1 : 0;
            admitted += limiter.tryAcquire(rate, now) ? 1 : 0;
        }

        assertThat(admitted).isAtMost(rate * seconds + rate);
        assertThat(admitted).isAtLeast(rate * seconds - 1);
    }
}
