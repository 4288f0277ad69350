package org.tamaracktrack.core.id;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

class AttemptIdTest {

    @Property(seed = "4242")
    void shouldDifferFromThePreviousAttemptWhenNext(@ForAll long request, @ForAll short attempt) {
        AttemptId first = AttemptId.of(IncarnationId.of("entry-1"), request, attempt);

        assertThat(first.next()).isNotEqualTo(first);
        assertThat(first.next().request()).isEqualTo(request);
    }

    @Test
    void shouldThrowWhenTheTextIsNotAnIdentifier() {
        TamaracktrackException failure =
                assertThrows(TamaracktrackException.class, () -> ModelId.of("two words"));

        assertThat(failure.code()).isEqualTo(ErrorCode.BAD_IDENTIFIER);
    }
}
