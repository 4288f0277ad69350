package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ConnectionShareTest {

    // Guards against many daemons that together open more connections than a target accepts, which
    // resets them while requests are on their way.
    @Property(seed = "4501", tries = 500)
    void shouldKeepSumOfSharesWithinMaximumWhenNoDaemonHasRequests(
            @ForAll @IntRange(min = 96, max = 2_000) int maximum,
            @ForAll @IntRange(min = 1, max = 24) int daemons) {
        assertThat(daemons * ConnectionShare.of(maximum, daemons, 0, 0)).isAtMost(maximum);
    }

    // Guards against shares that together exceed the maximum when the load is uneven.
    @Property(seed = "4502", tries = 500)
    void shouldKeepSumOfSharesWithinMaximumWhenLoadIsUneven(
            @ForAll @IntRange(min = 96, max = 2_000) int maximum,
            @ForAll @IntRange(min = 1, max = 320) int daemons,
            @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int[] requests =
                IntStream.range(0, daemons)
                        .map(daemon -> (int) (200 * Math.pow(random.nextDouble(), 8)))
                        .toArray();
        int total = IntStream.of(requests).sum();

        int sum =
                IntStream.of(requests)
                        .map(own -> ConnectionShare.of(maximum, daemons, own, total - own))
                        .sum();

        // Each daemon may have one connection, also where that is more than its share.
        assertThat(sum).isAtMost(Math.max(maximum, (int) (0.8 * maximum) + daemons));
    }

    // Guards against a daemon that starves since the others do not use their equal shares.
    @Property(seed = "4503", tries = 100)
    void shouldGiveMostConnectionsToTheDaemonThatHasAllRequests(
            @ForAll @IntRange(min = 96, max = 2_000) int maximum,
            @ForAll @IntRange(min = 2, max = 24) int daemons) {
        int requests = 0;
        while (ConnectionShare.of(maximum, daemons, requests, 0) > requests) {
            requests++;
        }

        assertThat(requests).isAtLeast((int) (0.75 * maximum) - daemons);
    }

    @Test
    void shouldNotLimitWhenTargetStatesNoMaximum() {
        assertThat(ConnectionShare.of(0, 27, 3, 4)).isEqualTo(Integer.MAX_VALUE);
    }

    @Test
    void shouldAssumeManyDaemonsBeforeTheFirstList() {
        assertThat(ConnectionShare.of(480, 0, 0, 0)).isAtMost(ConnectionShare.of(480, 32, 0, 0));
    }
}
