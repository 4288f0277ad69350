package org.tamaracktrack.daemon.target;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.id.ModelId;

class StraysTest {
    private static final ModelId MODEL = ModelId.of("m");

    // At a peak a model's home refuses a few requests and they come here: no load. When its home is
    // lost they keep coming, and the model must become reachable before the planner notices.
    @Test
    void shouldAllowALoadOnlyWhenTheModelIsAskedForAgainAndAgain() {
        Strays strays = Strays.empty();
        strays.wanted(Set.of(MODEL), 0);
        assertThat(strays.mayLoad(MODEL, 0)).isFalse();

        strays.wanted(Set.of(MODEL), 2_500);
        strays.wanted(Set.of(MODEL), 5_000);

        assertThat(strays.mayLoad(MODEL, 5_000)).isTrue();
    }

    @Test
    void shouldStartAnewWhenTheModelWasNotAskedForMeanwhile() {
        Strays strays = Strays.empty();
        strays.wanted(Set.of(MODEL), 0);
        strays.wanted(Set.of(MODEL), 6_000);

        assertThat(strays.mayLoad(MODEL, 6_000)).isFalse();
    }

    @Test
    void shouldAllowALoadWhenTheModelIsNoStray() {
        assertThat(Strays.empty().mayLoad(MODEL, 0)).isTrue();
    }
}
