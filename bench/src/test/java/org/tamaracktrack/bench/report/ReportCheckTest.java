package org.tamaracktrack.bench.report;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.bench.caller.Outcome;

class ReportCheckTest {
    private static final ObservedRequest.Row ROW = new ObservedRequest.Row("a", "m", "interactive");
    private static final List<ObservedRequest> REQUESTS =
            List.of(
                    new ObservedRequest(ROW, Outcome.WHOLE, 8),
                    new ObservedRequest(ROW, Outcome.NOT_RUN, 0),
                    new ObservedRequest(ROW, Outcome.MAY_HAVE_RUN, 0));

    @Test
    void shouldFindNoDifferenceWhenTheReportIsCorrect() {
        assertThat(ReportCheck.differences(REQUESTS, Map.of(ROW, new Counts(3, 1, 1, 1, 8))))
                .isEmpty();
    }

    @Test
    void shouldAllowTokensOfBrokenAnswersOnlyWhenAnAnswerBroke() {
        assertThat(ReportCheck.differences(REQUESTS, Map.of(ROW, new Counts(3, 1, 1, 1, 12))))
                .isEmpty();
        List<ObservedRequest> wholeOnly = REQUESTS.subList(0, 1);
        assertThat(ReportCheck.differences(wholeOnly, Map.of(ROW, new Counts(1, 1, 0, 0, 12))))
                .hasSize(1);
    }

    @Test
    void shouldFindMissingExtraAndDifferingRows() {
        ObservedRequest.Row other = new ObservedRequest.Row("b", "m", "interactive");
        assertThat(ReportCheck.differences(REQUESTS, Map.of())).hasSize(1);
        assertThat(
                        ReportCheck.differences(
                                REQUESTS,
                                Map.of(
                                        ROW, new Counts(3, 1, 1, 1, 8),
                                        other, new Counts(1, 1, 0, 0, 8))))
                .hasSize(1);
        assertThat(ReportCheck.differences(REQUESTS, Map.of(ROW, new Counts(3, 2, 1, 0, 8))))
                .hasSize(1);
    }
}
