package org.tamaracktrack.bench.report;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.bench.caller.Outcome;

class ReportCheckTest {
    private static final Seen.Row ROW = new Seen.Row("a", "m", "interactive");
    private static final List<Seen> SEEN =
            List.of(
                    new Seen(ROW, Outcome.WHOLE, 8),
                    new Seen(ROW, Outcome.NOT_RUN, 0),
                    new Seen(ROW, Outcome.MAY_HAVE_RUN, 0));

    @Test
    void shouldFindNothingWhenTheReportIsTrue() {
        assertThat(ReportCheck.differences(SEEN, Map.of(ROW, new Counts(3, 1, 1, 1, 8)))).isEmpty();
    }

    @Test
    void shouldAllowTokensOfBrokenAnswersOnlyWhenThereAreSome() {
        assertThat(ReportCheck.differences(SEEN, Map.of(ROW, new Counts(3, 1, 1, 1, 12))))
                .isEmpty();
        List<Seen> whole = SEEN.subList(0, 1);
        assertThat(ReportCheck.differences(whole, Map.of(ROW, new Counts(1, 1, 0, 0, 12))))
                .hasSize(1);
    }

    @Test
    void shouldFindWhatTheReportMissesOrMakesUp() {
        Seen.Row other = new Seen.Row("b", "m", "interactive");
        assertThat(ReportCheck.differences(SEEN, Map.of())).hasSize(1);
        assertThat(
                        ReportCheck.differences(
                                SEEN,
                                Map.of(
                                        ROW, new Counts(3, 1, 1, 1, 8),
                                        other, new Counts(1, 1, 0, 0, 8))))
                .hasSize(1);
        assertThat(ReportCheck.differences(SEEN, Map.of(ROW, new Counts(3, 2, 1, 0, 8))))
                .hasSize(1);
    }
}
