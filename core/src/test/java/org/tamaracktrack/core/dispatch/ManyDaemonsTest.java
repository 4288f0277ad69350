package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Many daemons send to the same engines, and each sees only a small part of what they get. */
class ManyDaemonsTest {
    private static final long LENGTH_MILLIS = 12_000;
    private static final int SEEDS = 3;
    private static final long EXCHANGE_MILLIS = 30;

    /** Requests a second at each engine that reads and writes for most of the time. */
    private static final double HEAVY = 6.5;

    private static final VirtualFleet.Size LARGE =
            new VirtualFleet.Size(33, 42, 5, 16, 8, 3, HEAVY, 0);

    private static List<VirtualFleet.Outcome> plays(VirtualFleet.Size size) {
        return IntStream.range(0, SEEDS)
                .mapToObj(seed -> VirtualFleet.play(size, LENGTH_MILLIS, seed))
                .collect(Collectors.toList());
    }

    private static double notInTime(List<VirtualFleet.Outcome> plays) {
        return plays.stream()
                .mapToDouble(outcome -> 1 - outcome.shareInTime())
                .average()
                .orElseThrow();
    }

    private static int mostOutstanding(List<VirtualFleet.Outcome> plays) {
        return plays.stream().mapToInt(VirtualFleet.Outcome::mostOutstanding).max().orElseThrow();
    }

    @Nested
    class HeavyLoad {
        private static final List<VirtualFleet.Outcome> ALONE = plays(LARGE);
        private static final List<VirtualFleet.Outcome> TOGETHER =
                plays(LARGE.exchanging(EXCHANGE_MILLIS));

        // Guards against daemons that pile prompts up on engines whose other prompts they do not
        // know of: answers are late though all engines together could keep up.
        @Test
        void shouldMakeAtMostHalfAsManyLateWhenPeersTellTheirLoads() {
            assertThat(notInTime(TOGETHER)).isLessThan(notInTime(ALONE) / 2);
        }

        // Guards against the herd: all daemons that hear the same choose the same engine.
        @Test
        void shouldNotCrowdEnginesMoreWhenPeersTellTheirLoads() {
            assertThat(mostOutstanding(TOGETHER)).isAtMost(mostOutstanding(ALONE));
        }
    }

    @Nested
    class FewDaemons {
        private final VirtualFleet.Size small =
                new VirtualFleet.Size(4, 8, 3, 64, 8, 3, 1.5 * HEAVY, 0);

        @Test
        void shouldNotMakeMoreLateWhenPeersTellTheirLoads() {
            assertThat(notInTime(plays(small.exchanging(EXCHANGE_MILLIS))))
                    .isLessThan(notInTime(plays(small)));
        }
    }
}
