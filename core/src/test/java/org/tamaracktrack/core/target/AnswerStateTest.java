package org.tamaracktrack.core.target;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

class AnswerStateTest {

    // Refusal, cancel, deadline and the end of the answer race: whichever comes first is the one
    // that the entry daemon hears.
    @Property(seed = "1123581321", tries = 500)
    void shouldEndOnceWhenEndsRace(@ForAll long schedule) {
        Random random = new Random(schedule);
        AnswerState answer = AnswerState.waiting();
        if (random.nextBoolean()) {
            answer.send();
        }
        List<BooleanSupplier> ends =
                List.of(
                        answer::end,
                        answer::end,
                        answer.mayHaveRun() ? answer::end : answer::refuse);
        int ended = 0;
        for (int turn = 0; turn < 10; turn++) {
            ended += ends.get(random.nextInt(ends.size())).getAsBoolean() ? 1 : 0;
        }

        assertThat(ended).isEqualTo(1);
        assertThat(answer.send()).isFalse();
        assertThat(answer.start()).isFalse();
        assertThat(answer.nextChunk()).isEqualTo(-1);
    }

    // The refusal of a request that an engine may be running would be repeated elsewhere, and one
    // approval would become two.
    @Test
    void shouldBreachWhenRefusedAfterItWasSent() {
        AnswerState answer = AnswerState.waiting();
        answer.send();

        TamaracktrackException failure = assertThrows(TamaracktrackException.class, answer::refuse);

        assertThat(failure.code()).isEqualTo(ErrorCode.INVARIANT_BREACH);
    }

    @Test
    void shouldRefuseWhenTheEngineSaidThatItDidNotRun() {
        AnswerState answer = AnswerState.waiting();
        answer.send();
        answer.notRun();

        assertThat(answer.refuse()).isTrue();
    }
}
