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

    // A refusal, a cancellation, the deadline and the end of the answer race. Only the first of
    // them may be reported to the entry daemon.
    @Property(seed = "1123581321", tries = 500)
    void shouldEndOnceWhenSeveralEndsRace(@ForAll long schedule) {
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

    // A refused request is retried elsewhere. If the engine may be running it, the request would be
    // executed twice.
    @Test
    void shouldReportAnInvariantBreachWhenRefusedAfterSending() {
        AnswerState answer = AnswerState.waiting();
        answer.send();

        TamaracktrackException failure = assertThrows(TamaracktrackException.class, answer::refuse);

        assertThat(failure.code()).isEqualTo(ErrorCode.INVARIANT_BREACH);
    }

    @Test
    void shouldRefuseWhenTheEngineReportedThatItDidNotRun() {
        AnswerState answer = AnswerState.waiting();
        answer.send();
        answer.markNotRun();

        assertThat(answer.refuse()).isTrue();
    }
}
