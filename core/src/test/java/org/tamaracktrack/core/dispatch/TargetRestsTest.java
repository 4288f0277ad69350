package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.TargetId;

class TargetRestsTest {
    private static final TargetIncarnation TARGET = new TargetIncarnation(TargetId.of("r1"), 0);
    private static final TargetIncarnation OTHER = new TargetIncarnation(TargetId.of("r2"), 0);
    private static final long REST_MILLIS = 3_000;
    private static final long END_MILLIS = REST_MILLIS;

    private final TargetRests rests = TargetRests.empty();

    private void rest(long nowMillis) {
        rests.recordRest(TARGET, REST_MILLIS, nowMillis, 0);
    }

    @Test
    void shouldPermitNothingWhenTargetRests() {
        assertThat(rests.permits(TARGET, 0)).isTrue();

        rest(0);

        assertThat(rests.permits(TARGET, END_MILLIS - 1)).isFalse();
        assertThat(rests.isResting(TARGET, END_MILLIS - 1)).isTrue();
        assertThat(rests.remainingMillis(TARGET, 1_000)).isEqualTo(END_MILLIS - 1_000);
        assertThat(rests.permits(TARGET, END_MILLIS)).isTrue();
        assertThat(rests.isResting(TARGET, END_MILLIS)).isFalse();
    }

    @Test
    void shouldPermitOthersWhenOneTargetRests() {
        rest(0);

        assertThat(rests.permits(OTHER, 1)).isTrue();
        assertThat(rests.permits(new TargetIncarnation(TARGET.target(), 1), 1)).isTrue();
    }

    // Guards against a rest that a later, shorter statement ends too early.
    @Test
    void shouldOnlyExtendRestWhenStatedAgain() {
        assertThat(rests.recordRest(TARGET, REST_MILLIS, 0, 0)).isTrue();
        assertThat(rests.recordRest(TARGET, 100, 1_000, 0)).isFalse();
        assertThat(rests.remainingMillis(TARGET, 1_000)).isEqualTo(END_MILLIS - 1_000);

        assertThat(rests.recordRest(TARGET, REST_MILLIS, 2_000, 0)).isFalse();

        assertThat(rests.remainingMillis(TARGET, 2_000)).isEqualTo(REST_MILLIS);
    }

    // Guards against a late answer to a request that was sent before the rest, which must not end
    // it.
    @Test
    void shouldGoOnRestingWhenEarlierRequestIsAnswered() {
        rest(0);

        rests.recordAnswer(TARGET, 10);

        assertThat(rests.permits(TARGET, 10)).isFalse();
    }

    @Test
    void shouldPermitOneTrialAtATimeWhenRestHasEnded() {
        rest(0);

        rests.recordSent(TARGET, END_MILLIS);

        assertThat(rests.permits(TARGET, END_MILLIS + 1)).isFalse();
        assertThat(rests.remainingMillis(TARGET, END_MILLIS + 1)).isGreaterThan(0);
        rests.recordAnswer(TARGET, END_MILLIS + 2);
        assertThat(rests.permits(TARGET, END_MILLIS + 2)).isTrue();
        rests.recordSent(TARGET, END_MILLIS + 3);
        assertThat(rests.permits(TARGET, END_MILLIS + 3)).isTrue();
    }

    @Test
    void shouldBeginNewRestWhenTrialIsRefused() {
        rest(0);
        rests.recordSent(TARGET, END_MILLIS);

        assertThat(rests.recordRest(TARGET, REST_MILLIS, END_MILLIS + 5, 0)).isTrue();

        assertThat(rests.permits(TARGET, END_MILLIS + 5 + REST_MILLIS - 1)).isFalse();
        assertThat(rests.permits(TARGET, END_MILLIS + 5 + REST_MILLIS)).isTrue();
    }

    // Guards against a target that gets no request any more because its trial was lost.
    @Test
    void shouldPermitNextTrialWhenTrialIsNotAnswered() {
        rest(0);

        rests.recordSent(TARGET, END_MILLIS);
        long nextMillis = END_MILLIS + TargetRest.MAX_TRIAL_MILLIS;

        assertThat(rests.permits(TARGET, nextMillis - 1)).isFalse();
        assertThat(rests.permits(TARGET, nextMillis)).isTrue();
        rests.recordSent(TARGET, nextMillis);
        assertThat(rests.permits(TARGET, nextMillis + 1)).isFalse();
    }

    @Test
    void shouldCutRestWhenItIsTooLong() {
        rests.recordRest(TARGET, Long.MAX_VALUE, 0, 0);

        assertThat(rests.remainingMillis(TARGET, 0)).isEqualTo(TargetRests.MAX_REST_MILLIS);
    }

    @Test
    void shouldThrowExceptionWhenRestIsNotPositive() {
        assertThrows(IllegalArgumentException.class, () -> rests.recordRest(TARGET, 0, 0, 0));
    }

    @Test
    void shouldReturnShortestRestOnlyWhenAllTargetsRest() {
        rest(0);
        assertThat(rests.shortestRemainingMillis(List.of(TARGET, OTHER), 1)).isEmpty();
        assertThat(rests.shortestRemainingMillis(List.of(), 1)).isEmpty();

        rests.recordRest(OTHER, 1_000, 0, 0);

        assertThat(rests.shortestRemainingMillis(List.of(TARGET, OTHER), 1)).hasValue(999);
    }

    // Guards against memory that grows with each target that has ever asked for a rest.
    @Test
    void shouldForgetOldestRestWhenThereAreTooMany() {
        rest(0);

        IntStream.range(0, TargetRests.MAX_TARGETS)
                .mapToObj(run -> new TargetIncarnation(OTHER.target(), run))
                .forEach(target -> rests.recordRest(target, REST_MILLIS, 0, 0));

        assertThat(rests.permits(TARGET, 1)).isTrue();
        assertThat(rests.permits(OTHER, 1)).isFalse();
    }

    // Guards against hundreds of daemons that were refused together and return together: their
    // first requests must not fall into one tenth of a second.
    @Property(seed = "5401", tries = 20)
    void shouldSpreadFirstTrialsWhenManyDaemonsWereRefusedTogether(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        LongStream ends =
                IntStream.range(0, 320)
                        .mapToLong(
                                daemon -> {
                                    TargetRests own = TargetRests.empty();
                                    own.recordRest(TARGET, REST_MILLIS, 0, random.nextDouble());
                                    return own.remainingMillis(TARGET, 0);
                                });

        Map<Long, Long> endsByTenth =
                ends.peek(end -> assertThat(end).isAtLeast(REST_MILLIS))
                        .boxed()
                        .collect(Collectors.groupingBy(end -> end / 100, Collectors.counting()));

        endsByTenth.values().forEach(count -> assertThat(count).isAtMost(90L));
    }

    // Guards against a target that gets more than two requests from half a second after it has
    // asked for a rest, whatever the order of sends, answers and refusals.
    @Property(seed = "5402", tries = 200)
    void shouldPermitNoSendInAnyRestWhenEventsAreDrawn(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long restEndMillis = 0;
        for (long nowMillis = 0; nowMillis < 30_000; nowMillis += random.nextInt(200)) {
            if (rests.permits(TARGET, nowMillis)) {
                assertThat(nowMillis).isAtLeast(restEndMillis);
                rests.recordSent(TARGET, nowMillis);
            }
            if (random.nextInt(5) == 0) {
                long restMillis = 1 + random.nextInt(4_000);
                rests.recordRest(TARGET, restMillis, nowMillis, random.nextDouble());
                restEndMillis = Math.max(restEndMillis, nowMillis + restMillis);
            } else if (random.nextInt(3) == 0) {
                rests.recordAnswer(TARGET, nowMillis);
            }
        }
    }
}
