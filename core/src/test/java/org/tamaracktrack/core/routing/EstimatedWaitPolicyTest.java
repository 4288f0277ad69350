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
    void shouldSelectOneOfTheCandidatesAndTheSameOneForTheSameSeed(
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
    void shouldSelectNothingWhenThereAreNoCandidates() {
        assertThat(POLICY.choose(query(OptionalLong.empty()), List.of(), 1)).isEmpty();
    }

    // Guards against sending every request to a target that stopped reporting while it was idle.
    // Its old report decays to the mean, so targets with recent reports of short waits are
    // preferred.
    @Test
    void shouldPreferAFreshShortWaitWhenTheIdleReportIsOld() {
        List<Candidate> candidates = List.of(candidate(0, 0, 60_000, 0), candidate(1, 20, 10, 0));

        assertThat(choices(candidates, query(OptionalLong.empty())))
                .containsExactly(TargetId.of("t1"), 1_000L);
    }

    // Guards against overloading a target that appears idle to every daemon. With two random
    // choices it receives only requests whose draw includes it.
    @Test
    void shouldNotSendAllRequestsToTheTargetThatAppearsIdle() {
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
    void shouldStayInTheLocalDataCentreUntilItsWaitExceedsTheDistance() {
        Candidate near = candidate(0, 30, 0, 0, 0);

        assertThat(choices(List.of(near, candidate(1, 28, 0, 0, 4)), query(OptionalLong.empty())))
                .containsExactly(TargetId.of("t0"), 1_000L);
        assertThat(choices(List.of(near, candidate(1, 20, 0, 0, 4)), query(OptionalLong.empty())))
                .containsExactly(TargetId.of("t1"), 1_000L);
    }

    @Test
    void shouldKeepAPrefixOnOneTargetWhileItsLoadIsWithinTheBound() {
        List<Candidate> even =
                IntStream.range(0, 5)
                        .mapToObj(number -> candidate(number, 10, 0, 0))
                        .collect(Collectors.toList());
        Map<TargetId, Long> assigned = choices(even, query(OptionalLong.of(77)));
        assertThat(assigned).hasSize(1);
        TargetId assignedTarget = assigned.keySet().iterator().next();

        List<Candidate> loaded =
                even.stream()
                        .map(
                                each ->
                                        each.target().equals(assignedTarget)
                                                ? candidate(
                                                        Integer.parseInt(
                                                                assignedTarget
                                                                        .value()
                                                                        .substring(1)),
                                                        2_000,
                                                        0,
                                                        0)
                                                : each)
                        .collect(Collectors.toList());
        assertThat(choices(loaded, query(OptionalLong.of(77)))).doesNotContainKey(assignedTarget);
    }

    // When a target leaves, only the prefixes that were assigned to it move.
    @Property(seed = "12", tries = 200)
    void shouldMoveOnlyThePrefixesOfTheTargetThatLeft(@ForAll long prefix) {
        List<Candidate> five =
                IntStream.range(0, 5)
                        .mapToObj(number -> candidate(number, 10, 0, 0))
                        .collect(Collectors.toList());
        RoutingQuery query = query(OptionalLong.of(prefix));
        TargetId assigned = POLICY.choose(query, five, 1).orElseThrow();

        TargetId after = POLICY.choose(query, five.subList(0, 4), 1).orElseThrow();

        if (!assigned.equals(TargetId.of("t4"))) {
            assertThat(after).isEqualTo(assigned);
        }
    }
}
