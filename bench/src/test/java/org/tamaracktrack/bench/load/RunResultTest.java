package org.tamaracktrack.bench.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.bench.caller.ModelRequest;
import org.tamaracktrack.bench.caller.Observation;
import org.tamaracktrack.bench.caller.Outcome;

class RunResultTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private static OpenLoopLoad.SentRequest sentRequest(
            String account, Outcome outcome, long firstByteMillis, double sendDelayMillis) {
        ModelRequest request = ModelRequest.of(ExperimentDocument.accountKey(account), "m", "p");
        Observation observation =
                new Observation(
                        outcome,
                        200,
                        "",
                        0,
                        firstByteMillis * NANOS_PER_MILLI,
                        2 * firstByteMillis * NANOS_PER_MILLI);
        return new OpenLoopLoad.SentRequest(new Arrival(0, request), observation, sendDelayMillis);
    }

    private static RunResult result(OpenLoopLoad.SentRequest... sentRequests) {
        return new RunResult(
                UserProfile.CEVALLOS,
                Scenario.PEAK,
                Policy.DEFAULT,
                1,
                List.of(sentRequests),
                Map.of("load_model/home", 3L),
                0,
                "same",
                Speed.EXPERIMENT);
    }

    @Test
    void shouldCountOnlyWholeAnswersWithFirstTokenInTime() {
        RunResult result =
                result(
                        sentRequest("a", Outcome.WHOLE, 399, 0),
                        sentRequest("a", Outcome.WHOLE, 401, 0),
                        sentRequest("b", Outcome.NOT_RUN, 1, 0),
                        sentRequest("b", Outcome.WHOLE, 1, 0));
        assertThat(result.attainment("interactive")).isEqualTo(50.0);
        assertThat(result.attainmentByAccount()).containsExactly("a", 50.0, "b", 50.0);
        assertThat(result.attainedPerAccelerator()).isEqualTo(2.0 / 8);
    }

    @Test
    void shouldIncludeTheSendDelayInFirstTokenTimes() {
        // If a load generator that falls behind measured from the time of sending, it would leave
        // out the time that a request waits in the generator (coordinated omission).
        RunResult result = result(sentRequest("a", Outcome.WHOLE, 10, 395));
        assertThat(result.attainment("interactive")).isEqualTo(0.0);
    }

    @Test
    void shouldWriteOneCellForEachHeader() {
        String csv = ResultTable.csv(List.of(result(sentRequest("a", Outcome.WHOLE, 10, 0))));
        List<Integer> cells = csv.lines().map(line -> line.split("\",\"").length).toList();
        assertThat(cells).hasSize(2);
        assertThat(cells.get(0)).isEqualTo(cells.get(1));
    }
}
