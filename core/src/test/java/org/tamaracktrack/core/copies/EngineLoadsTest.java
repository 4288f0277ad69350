package org.tamaracktrack.core.copies;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;

/**
 * Covers two models with most of the requests and others with a few each, on a handful of engines.
 */
class EngineLoadsTest {
    private static final ModelId HOT = ModelId.of("hot");
    private static final ModelId RARE = ModelId.of("rare");
    private static final TargetIncarnation ONE = engine("one");
    private static final TargetIncarnation TWO = engine("two");
    private static final TargetIncarnation IDLE = engine("idle");
    private static final double TOLERANCE = 1e-6;
    private static final double BUSY_RATE = 12;

    private static TargetIncarnation engine(String name) {
        return new TargetIncarnation(TargetId.of(name), 0);
    }

    @Test
    void shouldSendMoreRequestsToTheEngineWithLessOtherLoad() {
        EngineLoads loads =
                EngineLoads.of(
                        Map.of(HOT, List.of(ONE, TWO), RARE, List.of(ONE)),
                        Map.of(HOT, 10.0, RARE, 4.0),
                        BUSY_RATE,
                        Map.of());

        assertThat(loads.share(HOT, ONE)).isWithin(TOLERANCE).of(3);
        assertThat(loads.share(HOT, TWO)).isWithin(TOLERANCE).of(7);
    }

    // Guards against equal shares for engines whose work takes 0.6 and 1.6 times the usual time.
    @Test
    void shouldFillEnginesToTheSameLevelRelativeToTheirSpeed() {
        EngineLoads loads =
                EngineLoads.of(
                        Map.of(HOT, List.of(ONE, TWO, IDLE), RARE, List.of(ONE)),
                        Map.of(HOT, 10.0, RARE, 1.0),
                        BUSY_RATE,
                        Map.of(ONE, 0.6, TWO, 1.6));

        double level = 11 / (1 / 0.6 + 1 / 1.6 + 1);
        assertThat(loads.share(HOT, ONE)).isWithin(TOLERANCE).of(level / 0.6 - 1);
        assertThat(loads.share(HOT, TWO)).isWithin(TOLERANCE).of(level / 1.6);
        assertThat(loads.share(HOT, IDLE)).isWithin(TOLERANCE).of(level);
    }

    @Test
    void shouldGainMoreOnAnIdleEngineThanOnABusyOne() {
        EngineLoads loads =
                EngineLoads.of(
                        Map.of(HOT, List.of(ONE), RARE, List.of(TWO)),
                        Map.of(HOT, 20.0, RARE, 8.0),
                        BUSY_RATE,
                        Map.of());

        assertThat(loads.gain(HOT, 20, IDLE, 0)).isGreaterThan(loads.gain(HOT, 20, TWO, 0));
        assertThat(loads.gain(HOT, 20, TWO, 0)).isGreaterThan(0.0);
    }

    @Test
    void shouldLoseNothingWithoutAnUnusedReplica() {
        EngineLoads loads =
                EngineLoads.of(Map.of(HOT, List.of(ONE, TWO)), Map.of(), BUSY_RATE, Map.of());

        assertThat(loads.loss(HOT, ONE)).isWithin(TOLERANCE).of(0);
    }

    @Property(tries = 200, seed = "23")
    void shouldGainWithAReplicaWhatIsLostWithoutIt(
            @ForAll @IntRange(min = 1, max = 6) int replicas,
            @ForAll @DoubleRange(min = 0.1, max = 100) double rate) {
        List<TargetIncarnation> engines =
                IntStream.range(0, replicas)
                        .mapToObj(number -> engine("engine" + number))
                        .collect(Collectors.toList());
        List<TargetIncarnation> more =
                IntStream.rangeClosed(0, replicas)
                        .mapToObj(number -> engine("engine" + number))
                        .collect(Collectors.toList());
        EngineLoads before =
                EngineLoads.of(Map.of(HOT, engines), Map.of(HOT, rate), BUSY_RATE, Map.of());
        EngineLoads after =
                EngineLoads.of(Map.of(HOT, more), Map.of(HOT, rate), BUSY_RATE, Map.of());

        double gain = before.gain(HOT, rate, more.get(replicas), 0);
        assertThat(gain).isAtLeast(-TOLERANCE);
        assertThat(gain).isAtMost(before.lateRate(HOT) + TOLERANCE);
        assertThat(after.loss(HOT, more.get(replicas))).isWithin(TOLERANCE).of(gain);
    }
}
