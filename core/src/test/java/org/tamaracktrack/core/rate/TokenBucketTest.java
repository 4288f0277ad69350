package org.tamaracktrack.core.rate;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class TokenBucketTest {

    @Property(seed = "51", tries = 100)
    void shouldAdmitTheRateAndNoMoreThanASecondsWorthAtOnce(
            @ForAll @IntRange(min = 1, max = 500) int rate,
            @ForAll @IntRange(min = 1, max = 20) int seconds) {
        TokenBucket bucket = TokenBucket.full(0);
        int admitted = 0;
        for (long now = 0; now < seconds * 1_000L; now++) {
            admitted += bucket.take(rate, now) ? 1 : 0;
            admitted += bucket.take(rate, now) ? 1 : 0;
        }

        assertThat(admitted).isAtMost(rate * seconds + rate);
        assertThat(admitted).isAtLeast(rate * seconds - 1);
    }
}
