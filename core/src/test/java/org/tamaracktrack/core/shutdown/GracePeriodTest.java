package org.tamaracktrack.core.shutdown;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class GracePeriodTest {
    private static final long BEGAN_MILLIS = 1_000;

    /** Whatever is sent has at least this part of the grace period left for its answer. */
    private static final double FIRST_PART = 0.4;

    private static final double RETRY_PART = 0.1;

    // Guards against requests that are sent to a target so late in a planned stop that they can't
    // end before it.
    @Property(seed = "74", tries = 500)
    void shouldLeaveTimeForAnswerOfAllThatIsSent(
            @ForAll @LongRange(min = 2_000, max = 60_000) long graceMillis,
            @ForAll @LongRange(min = 0, max = 60_000) long elapsedMillis) {
        GracePeriod grace = new GracePeriod(BEGAN_MILLIS, graceMillis);
        long nowMillis = BEGAN_MILLIS + elapsedMillis;

        if (grace.acceptsRequests(nowMillis)) {
            assertThat(elapsedMillis + (long) (FIRST_PART * graceMillis)).isAtMost(graceMillis);
            assertThat(grace.allowsRetries(nowMillis)).isTrue();
            assertThat(grace.endsRequests((long) (nowMillis + RETRY_PART * graceMillis))).isFalse();
        }
        if (grace.allowsRetries(nowMillis)) {
            assertThat(grace.endsRequests((long) (nowMillis + RETRY_PART * graceMillis))).isFalse();
        }
        if (elapsedMillis >= graceMillis) {
            assertThat(grace.endsRequests(nowMillis)).isTrue();
        }
    }
}
