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

class ReturningCallerDetectorTest {
    private static final long TIMEOUT_MILLIS = 12_000;
    private static final int WARM_UP = 200;
    private static final int REQUESTS = 1_000;

    private final ReturningCallerDetector detector = ReturningCallerDetector.empty();

    private static long drawWaitMillis(SplittableRandom random, double spread) {
        return Math.round(TIMEOUT_MILLIS * (1 - spread * random.nextDouble()));
    }

    @Group
    @Nested
    class Newcomers {

        // Guards against new callers that are classified as returning because each of them waits
        // for between 85 and 100 percent of the route's timeout. Their requests would not count as
        // demand, and their models would get too few copies.
        @Test
        void shouldNotClassifyNewcomersAsReturningWhenWaitTimesVary() {
            SplittableRandom random = new SplittableRandom(1);
            IntStream.range(0, WARM_UP)
                    .forEach(count -> detector.observe(drawWaitMillis(random, 0.15)));

            long returned =
                    IntStream.range(0, REQUESTS)
                            .filter(count -> detector.observe(drawWaitMillis(random, 0.15)))
                            .count();

            assertThat(returned).isLessThan(REQUESTS / 10L);
        }

        @Property(tries = 50, seed = "7")
        void shouldClassifyMostNewcomersCorrectlyAtAnySpreadOfWaitTimes(
                @ForAll @DoubleRange(min = 0, max = 0.9) double spread,
                @ForAll @LongRange(min = 0, max = 1_000) long seed) {
            ReturningCallerDetector varied = ReturningCallerDetector.empty();
            SplittableRandom random = new SplittableRandom(seed);
            IntStream.range(0, WARM_UP)
                    .forEach(count -> varied.observe(drawWaitMillis(random, spread)));

            long returned =
                    IntStream.range(0, REQUESTS)
                            .filter(count -> varied.observe(drawWaitMillis(random, spread)))
                            .count();

            assertThat(returned).isLessThan(REQUESTS / 3L);
        }
    }

    @Nested
    class ReturningCallers {

        @Test
        void shouldDetectReturningCallerWhenAllCallersWaitEquallyLong() {
            IntStream.range(0, WARM_UP).forEach(count -> detector.observe(TIMEOUT_MILLIS));

            assertThat(detector.observe(TIMEOUT_MILLIS - 600)).isTrue();
            assertThat(detector.observe(TIMEOUT_MILLIS)).isFalse();
        }

        // One request in ten comes from a caller that was refused and comes back a second later.
        @Test
        void shouldDetectReturningCallersWhenATenthOfRequestsReturn() {
            IntStream.range(0, WARM_UP)
                    .forEach(
                            count ->
                                    detector.observe(
                                            count % 10 == 0
                                                    ? TIMEOUT_MILLIS - 1_000
                                                    : TIMEOUT_MILLIS));

            assertThat(detector.observe(TIMEOUT_MILLIS - 1_000)).isTrue();
            assertThat(detector.observe(TIMEOUT_MILLIS)).isFalse();
        }
    }
}
