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
    private static final TargetId HOME = TargetId.of("home");
    private static final TargetId OTHER = TargetId.of("other");

    private final RoutingTable table = RoutingTable.empty(DataCentreId.of("quito-1"));

    @BeforeEach
    void configure() {
        Map<TargetId, Configuration.Target> targets =
                Stream.of(HOME, OTHER)
                        .map(RoutingTableTest::target)
                        .collect(Collectors.toMap(Configuration.Target::id, Function.identity()));
        table.configure(
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
        table.heard(load(HOME, List.of(MODEL)), 0);
        table.heard(load(OTHER, List.of()), 0);
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
        table.plan(List.of(new LogEntry.Placement(MODEL, HOME, List.of(), "home")));
    }

    @Test
    void shouldOfferTheHomesOnlyWhenThereAreSome() {
        assertThat(candidates(Set.of())).containsExactly(HOME);
    }

    // The home had no room. Elsewhere the request would cost a load and evict what is planned
    // there; the caller hears at once that there is no room.
    @Test
    void shouldOfferNoTargetWithoutTheModelWhenItsPlannedHomeRefused() {
        plan();

        assertThat(candidates(Set.of(HOME))).isEmpty();
    }

    @Test
    void shouldOfferATargetThatCouldLoadWhenThereIsNoPlanForTheModel() {
        assertThat(candidates(Set.of(HOME))).containsExactly(OTHER);
    }

    @Test
    void shouldOfferATargetThatCouldLoadWhenTheHomeIsLost() {
        table.plan(List.of());
        table.forget(HOME);

        assertThat(candidates(Set.of())).containsExactly(HOME, OTHER);
    }
}
