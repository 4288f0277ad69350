package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class ReadingSpeedTest {
    private static final int REQUESTS = 40;
    private static final long EVERY_MILLIS = 100;

    private final ReadingSpeed speed = ReadingSpeed.unknown();

    // Four seconds of prompts between 500 and 4,000 tokens, each delayed by up to as much again by
    // prompts of other daemons. Engines of different makes read 5 to 100 tokens a millisecond.
    @Property(tries = 100, seed = "17")
    void shouldComeNearAnEnginesSpeedWithinSeconds(
            @ForAll @DoubleRange(min = 25, max = 100) double tokensPerMilli,
            @ForAll @LongRange(min = 0, max = 10_000) long seed) {
        ReadingSpeed learned = ReadingSpeed.unknown();
        SplittableRandom random = new SplittableRandom(seed);
        for (int count = 0; count < REQUESTS; count++) {
            int tokens = 500 + random.nextInt(3_500);
            double took = tokens / tokensPerMilli * (1 + random.nextDouble());
            learned.note(tokens, took, count * EVERY_MILLIS);
        }

        double estimate = learned.tokensPerMilli(REQUESTS * EVERY_MILLIS);
        assertThat(estimate).isAtMost(tokensPerMilli * 1.01);
        assertThat(estimate).isAtLeast(tokensPerMilli * 0.6);
    }

    // An engine turns slow. Believed as quick as before, it would look idle and draw all requests.
    @Test
    void shouldNoticeThatAnEngineTurnedSlow() {
        speed.note(2_000, 20, 0);
        assertThat(speed.tokensPerMilli(0)).isEqualTo(100.0);

        for (int count = 1; count <= 600; count++) {
            speed.note(2_000, 200, count * EVERY_MILLIS);
        }

        assertThat(speed.tokensPerMilli(600 * EVERY_MILLIS)).isLessThan(15.0);
    }

    @Test
    void shouldTakeNothingFromPromptsThatAreMostlyOnTheWay() {
        double before = speed.tokensPerMilli(0);

        speed.note(40, 1, 0);

        assertThat(speed.tokensPerMilli(0)).isEqualTo(before);
    }
}
