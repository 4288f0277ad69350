package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class PromptRateEstimatorTest {
    private static final int REQUESTS = 40;
    private static final long SAMPLE_INTERVAL_MILLIS = 100;

    private final PromptRateEstimator estimator = PromptRateEstimator.create();

    // Four seconds of prompts between 500 and 4,000 tokens, each of which prompts of other daemons
    // delay by up to its own processing time. Engines process 5 to 100 tokens per millisecond,
    // depending on the model of accelerator.
    @Property(tries = 100, seed = "17")
    void shouldApproximateEngineRateWithinSeconds(
            @ForAll @DoubleRange(min = 25, max = 100) double tokensPerMilli,
            @ForAll @LongRange(min = 0, max = 10_000) long seed) {
        PromptRateEstimator varied = PromptRateEstimator.create();
        SplittableRandom random = new SplittableRandom(seed);
        for (int count = 0; count < REQUESTS; count++) {
            int tokens = 500 + random.nextInt(3_500);
            double elapsedMillis = tokens / tokensPerMilli * (1 + random.nextDouble());
            varied.recordSample(tokens, elapsedMillis, count * SAMPLE_INTERVAL_MILLIS);
        }

        double estimate = varied.tokensPerMilli(REQUESTS * SAMPLE_INTERVAL_MILLIS);
        assertThat(estimate).isAtMost(tokensPerMilli * 1.01);
        assertThat(estimate).isAtLeast(tokensPerMilli * 0.6);
    }

    // Guards against an engine that becomes slower and attracts all requests, because its old rate
    // makes it look idle.
    @Test
    void shouldLowerEstimateWhenEngineSlowsDown() {
        estimator.recordSample(2_000, 20, 0);
        assertThat(estimator.tokensPerMilli(0)).isEqualTo(100.0);

        for (int count = 1; count <= 600; count++) {
            estimator.recordSample(2_000, 200, count * SAMPLE_INTERVAL_MILLIS);
        }

        assertThat(estimator.tokensPerMilli(600 * SAMPLE_INTERVAL_MILLIS)).isLessThan(15.0);
    }

    @Test
    void shouldIgnorePromptsWhoseTimeIsMostlyNetworkDelay() {
        double before = estimator.tokensPerMilli(0);

        estimator.recordSample(40, 1, 0);

        assertThat(estimator.tokensPerMilli(0)).isEqualTo(before);
    }
}
