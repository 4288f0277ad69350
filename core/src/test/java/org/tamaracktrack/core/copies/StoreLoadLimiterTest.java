package org.tamaracktrack.core.copies;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

class StoreLoadLimiterTest {
    private static final double SMALL_SITE_RATE = 2.5;
    private static final int SMALL_SITE_ENGINES = 8;
    private static final double LARGE_SITE_RATE = 8.5;
    private static final int LARGE_SITE_ENGINES = 42;

    @Property(seed = "95", tries = 50)
    void shouldKeepEveryWindowWithinTheLimitOfTheStore(
            @ForAll @DoubleRange(min = 0.5, max = 8) double rate) {
        StoreLoadLimiter limiter = StoreLoadLimiter.empty();
        List<Long> startedMillis = new ArrayList<>();

        for (long now = 0; now < 30_000; now += 50) {
            if (limiter.allows(rate, now)) {
                limiter.recordLoad(now);
                startedMillis.add(now);
            }
        }

        for (long from = 0; from < 25_000; from += 50) {
            long start = from;
            long inWindow =
                    startedMillis.stream().filter(at -> at >= start && at < start + 5_000).count();
            assertThat((double) inWindow).isAtMost(rate * 5);
        }
        assertThat(startedMillis).isNotEmpty();
    }

    // One holder of the duty is lost right after it has used up the store's rate, and the next
    // starts after the pause between two holders. Together they must not exceed the store's rate
    // by more than a tenth and three loads.
    @Property(seed = "96", tries = 50)
    void shouldKeepWindowsWithinTheBoundWhenAnotherHolderFollows(
            @ForAll @DoubleRange(min = 1, max = 8) double rate) {
        List<Long> startedMillis = new ArrayList<>();
        recordLoads(StoreLoadLimiter.empty(), rate, 0, 10_000, startedMillis);
        StoreLoadLimiter next = StoreLoadLimiter.empty();
        next.assumeFullWindow(rate, 10_000);
        recordLoads(next, rate, 13_200, 25_000, startedMillis);

        for (long from = 0; from < 20_000; from += 50) {
            long start = from;
            long inWindow =
                    startedMillis.stream().filter(at -> at >= start && at < start + 5_000).count();
            assertThat((double) inWindow).isAtMost(rate * 5 * 1.1 + 3);
        }
    }

    // Guards against a holder that assumes fewer loads than the former holder may have started at
    // the very end, after it had been idle.
    @Property(seed = "97", tries = 50)
    void shouldKeepWindowsWithinTheBoundWhenTheFormerHolderWasIdleUntilItsEnd(
            @ForAll @DoubleRange(min = 1, max = 40) double rate,
            @ForAll @IntRange(max = 1_500) int lastMillis) {
        List<Long> startedMillis = new ArrayList<>();
        recordLoads(StoreLoadLimiter.empty(), rate, 10_000 - lastMillis, 10_000, startedMillis);
        StoreLoadLimiter next = StoreLoadLimiter.empty();
        next.assumeFullWindow(rate, 10_000);
        recordLoads(next, rate, 13_000, 25_000, startedMillis);

        for (long from = 0; from < 20_000; from += 50) {
            long start = from;
            long inWindow =
                    startedMillis.stream().filter(at -> at >= start && at < start + 5_000).count();
            assertThat((double) inWindow).isAtMost(rate * 5 * 1.1 + 3);
        }
    }

    // Orders are left unanswered and carried out 2 to 12 s later, beside those of a later window.
    // Guards against more loads in a window than the weight store allows.
    @Property(seed = "99", tries = 60)
    void shouldKeepWindowsWithinTheBoundWhenOrdersAreCarriedOutLate(
            @ForAll @LongRange(max = 1_000_000) long seed,
            @ForAll @DoubleRange(max = 0.9) double unansweredRatio,
            @ForAll boolean large) {
        double rate = large ? LARGE_SITE_RATE : SMALL_SITE_RATE;
        int engines = large ? LARGE_SITE_ENGINES : SMALL_SITE_ENGINES;

        List<Long> startedMillis = LateLoadSimulation.run(seed, engines, rate, unansweredRatio);

        assertThat(startedMillis).isNotEmpty();
        startedMillis.forEach(
                from -> {
                    long inWindow =
                            startedMillis.stream()
                                    .filter(at -> at >= from && at < from + 5_000)
                                    .count();
                    assertThat((double) inWindow).isAtMost(rate * 5 * 1.1 + 3);
                });
    }

    private static void recordLoads(
            StoreLoadLimiter limiter,
            double rate,
            long from,
            long until,
            List<Long> startedMillis) {
        for (long now = from; now < until; now += 50) {
            if (limiter.allows(rate, now)) {
                limiter.recordLoad(now);
                startedMillis.add(now);
            }
        }
    }
}
