package org.tamaracktrack.core.copies;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

class StoreLoadLimiterTest {

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
