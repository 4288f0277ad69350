package org.tamaracktrack.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.RequestClassId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.message.Message;

class RoutingTableTest {
    private static final ModelId MODEL = ModelId.of("m");
    private static final TargetId HOLDER = TargetId.of("home");
    private static final TargetId OTHER = TargetId.of("other");

    private final RoutingTable table = RoutingTable.empty(DataCentreId.of("quito-1"));

    @BeforeEach
    void configure() {
        Map<TargetId, Configuration.Target> targets =
                Stream.of(HOLDER, OTHER)
                        .map(RoutingTableTest::target)
                        .collect(Collectors.toMap(Configuration.Target::id, Function.identity()));
        table.applyConfiguration(
                new Configuration(
                        1,
                        new Configuration.WeightStoreLimits(1, 1),
                        1,
                        Map.of(),
                        Map.of(),
                        Map.of(),
                        Map.of(),
                        targets,
                        Map.of()));
        table.recordLoad(load(HOLDER, List.of(MODEL)), 0);
        table.recordLoad(load(OTHER, List.of()), 0);
    }

    private static Configuration.Target target(TargetId id) {
        return new Configuration.Target(
                id,
                Configuration.TargetKind.ENGINE,
                HostId.of("h"),
                DataCentreId.of("quito-1"),
                "127.0.0.1:1",
                8,
                List.of(),
                true,
                Optional.empty());
    }

    private static Message.Load load(TargetId target, List<ModelId> resident) {
        return new Message.Load(target, 1, false, 0, 0, Map.of(), resident, List.of(), List.of());
    }

    private List<TargetId> candidates(Set<TargetId> tried) {
        RoutingQuery query =
                RoutingQuery.model(
                        RequestClassId.of("interactive"),
                        MODEL,
                        Optional.empty(),
                        OptionalLong.empty());
        return table.candidates(query, target -> true, tried, 0).stream()
                .map(Candidate::target)
                .collect(Collectors.toList());
    }

    private void plan() {
        table.applyPlan(List.of(new LogEntry.Placement(MODEL, HOLDER, List.of(), "home")));
    }

    @Test
    void shouldReturnOnlyTargetsThatHoldTheModelWhenThereAreSome() {
        assertThat(candidates(Set.of())).containsExactly(HOLDER);
    }

    // The planned target refused the request for lack of capacity. At another target the request
    // would cost a load and evict a planned model, so it is refused immediately instead.
    @Test
    void shouldReturnNoTargetWithoutTheModelWhenItsPlannedTargetRefused() {
        plan();

        assertThat(candidates(Set.of(HOLDER))).isEmpty();
    }

    @Test
    void shouldReturnATargetThatCanLoadTheModelWhenThereIsNoPlanForIt() {
        assertThat(candidates(Set.of(HOLDER))).containsExactly(OTHER);
    }

    @Test
    void shouldReturnTargetsThatCanLoadTheModelWhenTheLoadOfItsHolderIsDiscarded() {
        table.applyPlan(List.of());
        table.clearLoad(HOLDER);

        assertThat(candidates(Set.of())).containsExactly(HOLDER, OTHER);
    }
}
