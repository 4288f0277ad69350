package org.tamaracktrack.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.RequestClassId;
import org.tamaracktrack.core.id.TargetId;

class EstimatedWaitPolicyTest {
    private static final RequestClassId CLASS = RequestClassId.of("interactive");
    private static final RoutingPolicy POLICY = EstimatedWaitPolicy.of();

    private static RoutingQuery query(OptionalLong prefix) {
        return RoutingQuery.model(CLASS, ModelId.of("m"), Optional.empty(), prefix);
    }

    private static Candidate candidate(int number, long wait, long age, int unreported) {
        return candidate(number, wait, age, unreported, 0);
    }

    private static Candidate candidate(
            int number, long wait, long age, int unreported, long distance) {
        return new Candidate(
                TargetId.of("t" + number),
                true,
                distance,
                4,
                Optional.of(new Candidate.Hint(wait, 0, age)),
                unreported,
                unreported,
                400);
    }

    private static Map<TargetId, Long> choices(List<Candidate> candidates, RoutingQuery query) {
        return LongStream.range(0, 1_000)
                .mapToObj(seed -> POLICY.choose(query, candidates, seed).orElseThrow())
                .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
    }

    @Property(seed = "11")
    void shouldChooseOneOfTheCandidatesAndTheSameOneForTheSameSeed(
            @ForAll @IntRange(min = 1, max = 12) int count,
            @ForAll long seed,
            @ForAll boolean prefixed) {
        List<Candidate> candidates =
                IntStream.range(0, count)
                        .mapToObj(number -> candidate(number, number * 37 % 101, number, number))
                        .collect(Collectors.toList());
        RoutingQuery query = query(prefixed ? OptionalLong.of(seed) : OptionalLong.empty());

        Optional<TargetId> choice = POLICY.choose(query, candidates, seed);

        assertThat(candidates.stream().map(Candidate::target)).contains(choice.orElseThrow());
        assertThat(POLICY.choose(query, candidates, seed)).isEqualTo(choice);
    }

    @Test
    void shouldChooseNothingWhenThereAreNoCandidates() {
        assertThat(POLICY.choose(query(OptionalLong.empty()), List.of(), 1)).isEmpty();
    }

    // A target that fell silent when it was idle must not draw every request: its old report gives
    // way to the mean, so fresh targets with short waits win over it.
    @Test
    void shouldPreferAFreshShortWaitWhenTheIdleReportIsOld() {
        List<Candidate> candidates = List.of(candidate(0, 0, 60_000, 0), candidate(1, 20, 10, 0));

        assertThat(choices(candidates, query(OptionalLong.empty())))
                .containsExactly(TargetId.of("t1"), 1_000L);
    }

    // Every daemon sees the same idle target; with two random choices it gets no more than its
    // part of the draws in which it takes part.
    @Test
    void shouldNotSendEverythingToTheTargetThatLooksIdle() {
        List<Candidate> candidates =
                IntStream.range(0, 10)
                        .mapToObj(number -> candidate(number, number == 0 ? 0 : 50, 0, 0))
                        .collect(Collectors.toList());

        assertThat(choices(candidates, query(OptionalLong.empty())).get(TargetId.of("t0")))
                .isLessThan(300L);
    }

    @Test
    void shouldCountItsOwnUnreportedAttemptsAsWait() {
        List<Candidate> candidates = List.of(candidate(0, 0, 0, 8), candidate(1, 300, 0, 0));

        assertThat(choices(candidates, query(OptionalLong.empty())))
                .containsExactly(TargetId.of("t1"), 1_000L);
    }

    @Test
    void shouldStayInTheOwnDataCentreUntilItsWaitExceedsTheDistance() {
        Candidate near = candidate(0, 30, 0, 0, 0);

        assertThat(choices(List.of(near, candidate(1, 28, 0, 0, 4)), query(OptionalLong.empty())))
                .containsExactly(TargetId.of("t0"), 1_000L);
        assertThat(choices(List.of(near, candidate(1, 20, 0, 0, 4)), query(OptionalLong.empty())))
                .containsExactly(TargetId.of("t1"), 1_000L);
    }

    @Test
    void shouldKeepAPrefixOnOneHomeWhileItsLoadIsWithinTheBound() {
        List<Candidate> even =
                IntStream.range(0, 5)
                        .mapToObj(number -> candidate(number, 10, 0, 0))
                        .collect(Collectors.toList());
        Map<TargetId, Long> home = choices(even, query(OptionalLong.of(77)));
        assertThat(home).hasSize(1);
        TargetId homeTarget = home.keySet().iterator().next();

        List<Candidate> loaded =
                even.stream()
                        .map(
                                each ->
                                        each.target().equals(homeTarget)
                                                ? candidate(
                                                        Integer.parseInt(
                                                                homeTarget.value().substring(1)),
                                                        2_000,
                                                        0,
                                                        0)
                                                : each)
                        .collect(Collectors.toList());
        assertThat(choices(loaded, query(OptionalLong.of(77)))).doesNotContainKey(homeTarget);
    }

    // When a home goes, only the prefixes that lived there move.
    @Property(seed = "12", tries = 200)
    void shouldMoveOnlyThePrefixesOfTheHomeThatLeft(@ForAll long prefix) {
        List<Candidate> five =
                IntStream.range(0, 5)
                        .mapToObj(number -> candidate(number, 10, 0, 0))
                        .collect(Collectors.toList());
        RoutingQuery query = query(OptionalLong.of(prefix));
        TargetId home = POLICY.choose(query, five, 1).orElseThrow();

        TargetId after = POLICY.choose(query, five.subList(0, 4), 1).orElseThrow();

        if (!home.equals(TargetId.of("t4"))) {
            assertThat(after).isEqualTo(home);
        }
    }
}
