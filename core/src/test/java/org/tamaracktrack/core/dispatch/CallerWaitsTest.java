package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CallerWaitsTest {
    private static final long TIMEOUT_MILLIS = 12_000;
    private static final int WARM_UP = 200;
    private static final int REQUESTS = 1_000;

    private final CallerWaits waits = CallerWaits.empty();

    private static long draw(SplittableRandom random, double spread) {
        return Math.round(TIMEOUT_MILLIS * (1 - spread * random.nextDouble()));
    }

    @Group
    @Nested
    class Newcomers {

        // The callers of a chat each wait between 85 and 100 percent of the route's timeout. Taken
        // for
        // returned, their requests did not count as demand, and their models got too few copies.
        @Test
        void shouldTakeNewcomersForNewcomersWhenTheirPatienceVaries() {
            SplittableRandom random = new SplittableRandom(1);
            IntStream.range(0, WARM_UP).forEach(count -> waits.returned(draw(random, 0.15)));

            long returned =
                    IntStream.range(0, REQUESTS)
                            .filter(count -> waits.returned(draw(random, 0.15)))
                            .count();

            assertThat(returned).isLessThan(REQUESTS / 10L);
        }

        @Property(tries = 50, seed = "7")
        void shouldTakeMostNewcomersForNewcomersAtAnySpread(
                @ForAll @DoubleRange(min = 0, max = 0.9) double spread,
                @ForAll @LongRange(min = 0, max = 1_000) long seed) {
            CallerWaits any = CallerWaits.empty();
            SplittableRandom random = new SplittableRandom(seed);
            IntStream.range(0, WARM_UP).forEach(count -> any.returned(draw(random, spread)));

            long returned =
                    IntStream.range(0, REQUESTS)
                            .filter(count -> any.returned(draw(random, spread)))
                            .count();

            assertThat(returned).isLessThan(REQUESTS / 3L);
        }
    }

    @Nested
    class Returned {

        @Test
        void shouldKnowWhoComesBackWhenAllCallersWaitAlike() {
            IntStream.range(0, WARM_UP).forEach(count -> waits.returned(TIMEOUT_MILLIS));

            assertThat(waits.returned(TIMEOUT_MILLIS - 600)).isTrue();
            assertThat(waits.returned(TIMEOUT_MILLIS)).isFalse();
        }

        // One in ten was refused and comes back a second later.
        @Test
        void shouldKnowWhoComesBackWhenSomeDo() {
            IntStream.range(0, WARM_UP)
                    .forEach(
                            count ->
                                    waits.returned(
                                            count % 10 == 0
                                                    ? TIMEOUT_MILLIS - 1_000
                                                    : TIMEOUT_MILLIS));

            assertThat(waits.returned(TIMEOUT_MILLIS - 1_000)).isTrue();
            assertThat(waits.returned(TIMEOUT_MILLIS)).isFalse();
        }
    }
}
