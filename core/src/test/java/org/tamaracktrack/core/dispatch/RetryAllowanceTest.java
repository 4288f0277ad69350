package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

class RetryAllowanceTest {
    private static final long WINDOW_MILLIS = 10_000;
    private static final double RATIO = 0.2;
    private static final int SLACK = 52;
    private static final int SLACK_PARTS = 8;

    // Targets refuse everything, so each daemon repeats as often as it may. Traffic falls
    // unevenly on the daemons. Summed over them, repeats of a window must stay within the share
    // of its requests and the slack, or the targets drown in repeats.
    @Property(seed = "81", tries = 60)
    void shouldKeepTheSumWithinTheBudgetAtAnySpreadOfTraffic(
            @ForAll @IntRange(min = 1, max = SLACK_PARTS) int daemons,
            @ForAll @LongRange(max = 1_000_000) long seed) {
        Random random = new Random(seed);
        List<RetryAllowance> allowances =
                IntStream.range(0, daemons)
                        .mapToObj(
                                daemon ->
                                        RetryAllowance.of(
                                                new FleetRetryBudget(RATIO, WINDOW_MILLIS, SLACK),
                                                now -> 1.0 / SLACK_PARTS))
                        .toList();
        List<Long> requests = new ArrayList<>();
        List<Long> repeats = new ArrayList<>();

        for (long now = 0; now < 4 * WINDOW_MILLIS; now += 5) {
            int square = random.nextInt(daemons * daemons);
            RetryAllowance one = allowances.get((int) Math.sqrt(square));
            if (random.nextInt(4) == 0) {
                one.request(now);
                requests.add(now);
            }
            if (one.take(now)) {
                repeats.add(now);
            }
        }

        for (long from = 0; from <= 3 * WINDOW_MILLIS; from += 500) {
            long inWindow = within(repeats, from);
            double allowed = RATIO * most(requests, from) + SLACK;
            assertThat((double) inWindow).isAtMost(allowed);
        }
    }

    private static double most(List<Long> requests, long from) {
        return Math.max(
                within(requests, from),
                Math.max(
                        within(requests, from - WINDOW_MILLIS),
                        within(requests, from - WINDOW_MILLIS / 2)));
    }

    private static long within(List<Long> times, long from) {
        return times.stream().filter(at -> at >= from && at < from + WINDOW_MILLIS).count();
    }
}
