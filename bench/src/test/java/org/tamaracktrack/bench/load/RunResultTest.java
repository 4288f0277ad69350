package org.tamaracktrack.bench.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.bench.caller.ModelRequest;
import org.tamaracktrack.bench.caller.Observation;
import org.tamaracktrack.bench.caller.Outcome;

class RunResultTest {
    private static final long MILLI = 1_000_000;

    private static OpenLoad.Answered answered(
            String account, Outcome outcome, long firstMillis, double lateMillis) {
        ModelRequest request = ModelRequest.of(ExperimentDocument.key(account), "m", "p");
        Observation seen =
                new Observation(outcome, 200, "", 0, firstMillis * MILLI, 2 * firstMillis * MILLI);
        return new OpenLoad.Answered(new Arrival(0, request), seen, lateMillis);
    }

    private static RunResult result(OpenLoad.Answered... answered) {
        return new RunResult(
                UserProfile.CEVALLOS,
                Scenario.PEAK,
                Policy.DEFAULT,
                1,
                List.of(answered),
                Map.of("load_model/home", 3L),
                0,
                "same",
                Speed.EXPERIMENT);
    }

    @Test
    void shouldCountOnlyWholeAnswersThatBeganInTime() {
        RunResult result =
                result(
                        answered("a", Outcome.WHOLE, 399, 0),
                        answered("a", Outcome.WHOLE, 401, 0),
                        answered("b", Outcome.NOT_RUN, 1, 0),
                        answered("b", Outcome.WHOLE, 1, 0));
        assertThat(result.attainment("interactive")).isEqualTo(50.0);
        assertThat(result.attainmentByAccount()).containsExactly("a", 50.0, "b", 50.0);
        assertThat(result.attainedPerAccelerator()).isEqualTo(2.0 / 8);
    }

    @Test
    void shouldCountTheTimeBeforeALateSending() {
        // A generator that falls behind sends late; timed from the sending, the answer would
        // look quick although its caller had waited from the time the request was due.
        RunResult result = result(answered("a", Outcome.WHOLE, 10, 395));
        assertThat(result.attainment("interactive")).isEqualTo(0.0);
    }

    @Test
    void shouldGiveOneCellForEachHeader() {
        String csv = ResultTable.csv(List.of(result(answered("a", Outcome.WHOLE, 10, 0))));
        List<Integer> cells = csv.lines().map(line -> line.split("\",\"").length).toList();
        assertThat(cells).hasSize(2);
        assertThat(cells.get(0)).isEqualTo(cells.get(1));
    }
}
