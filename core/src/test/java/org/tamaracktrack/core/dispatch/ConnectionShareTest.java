package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ConnectionShareTest {

    // Guards against many daemons that together open more connections than a target accepts, which
    // resets them while requests are on their way.
    @Property(seed = "4501", tries = 500)
    void shouldKeepSumOfSharesWithinMaximum(
            @ForAll @IntRange(min = 96, max = 2_000) int maximum,
            @ForAll @IntRange(min = 1, max = 24) int daemons) {
        assertThat(daemons * ConnectionShare.of(maximum, daemons)).isAtMost(maximum);
    }

    @Test
    void shouldNotLimitWhenTargetStatesNoMaximum() {
        assertThat(ConnectionShare.of(0, 27)).isEqualTo(Integer.MAX_VALUE);
    }

    @Test
    void shouldAssumeManyDaemonsBeforeTheFirstList() {
        assertThat(ConnectionShare.of(480, 0)).isAtMost(ConnectionShare.of(480, 32));
    }
}
