package org.tamaracktrack.core.copies;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

class StorePaceTest {

    @Property(seed = "95", tries = 50)
    void shouldKeepEveryWindowWithinTheStoresRate(
            @ForAll @DoubleRange(min = 0.5, max = 8) double rate) {
        StorePace pace = StorePace.empty();
        List<Long> begun = new ArrayList<>();

        for (long now = 0; now < 30_000; now += 50) {
            if (pace.allows(rate, now)) {
                pace.begin(now);
                begun.add(now);
            }
        }

        for (long from = 0; from < 25_000; from += 50) {
            long start = from;
            long inWindow = begun.stream().filter(at -> at >= start && at < start + 5_000).count();
            assertThat((double) inWindow).isAtMost(rate * 5);
        }
        assertThat(begun).isNotEmpty();
    }

    // One giver of orders is lost right after it has used the store's rate up, and the next begins
    // after the pause between two holders. Over both, the store must not be asked for more than a
    // tenth above its rate and three loads.
    @Property(seed = "96", tries = 50)
    void shouldKeepWindowsWithinTheBoundWhenAnotherGiverFollows(
            @ForAll @DoubleRange(min = 1, max = 8) double rate) {
        List<Long> begun = new ArrayList<>();
        take(StorePace.empty(), rate, 0, 10_000, begun);
        StorePace next = StorePace.empty();
        next.follow(rate, 10_000);
        take(next, rate, 13_200, 25_000, begun);

        for (long from = 0; from < 20_000; from += 50) {
            long start = from;
            long inWindow = begun.stream().filter(at -> at >= start && at < start + 5_000).count();
            assertThat((double) inWindow).isAtMost(rate * 5 * 1.1 + 3);
        }
    }

    // Guards against a giver that leaves the one before it less than that one may have used in its
    // last moment, after a calm time.
    @Property(seed = "97", tries = 50)
    void shouldKeepWindowsWithinTheBoundWhenTheFormerGiverWasIdleUntilItsEnd(
            @ForAll @DoubleRange(min = 1, max = 40) double rate,
            @ForAll @IntRange(max = 1_500) int lastMillis) {
        List<Long> begun = new ArrayList<>();
        take(StorePace.empty(), rate, 10_000 - lastMillis, 10_000, begun);
        StorePace next = StorePace.empty();
        next.follow(rate, 10_000);
        take(next, rate, 13_000, 25_000, begun);

        for (long from = 0; from < 20_000; from += 50) {
            long start = from;
            long inWindow = begun.stream().filter(at -> at >= start && at < start + 5_000).count();
            assertThat((double) inWindow).isAtMost(rate * 5 * 1.1 + 3);
        }
    }

    private static void take(StorePace pace, double rate, long from, long until, List<Long> begun) {
        for (long now = from; now < until; now += 50) {
            if (pace.allows(rate, now)) {
                pace.begin(now);
                begun.add(now);
            }
        }
    }
}
