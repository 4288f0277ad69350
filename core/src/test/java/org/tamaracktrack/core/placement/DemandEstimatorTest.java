package org.tamaracktrack.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.log.LogEntry.CountersPublished;
import org.tamaracktrack.core.log.LogRecord;

class DemandEstimatorTest {
    private static final ModelId MODEL = ModelId.of("approval");
    private static final String OFFERED = "requests|north|approval|interactive|offered";

    private final DemandEstimator estimator = DemandEstimator.empty();
    private long offset;

    private void report(long sequence, long atMillis, long offered) {
        estimator.handle(
                LogRecord.of(
                        offset++,
                        atMillis,
                        new CountersPublished(
                                IncarnationId.of("entry-1"),
                                "entry",
                                sequence,
                                0,
                                atMillis,
                                false,
                                Map.of(OFFERED, offered))));
    }

    private double requestsPerSecond() {
        return estimator.demand().getOrDefault(MODEL, ModelDemand.NONE).requestsPerSecond();
    }

    // Ten requests per second arrive. One in five records is lost, one in five duplicated, and some
    // arrive late. Counting a duplicate as new requests would double the estimate and cause moves.
    @Property(seed = "51", tries = 100)
    void shouldEstimateTheRateWhenRecordsAreLostDuplicatedAndLate(
            @ForAll @LongRange(max = 1_000_000) long seed) {
        Random random = new Random(seed);
        for (int second = 0; second <= 300; second += 5) {
            int recordFault = second == 0 || second == 300 ? 2 : random.nextInt(5);
            if (recordFault != 0) {
                report(second, second * 1_000L, second * 10L);
            }
            if (recordFault == 1) {
                report(second, second * 1_000L + 100, second * 10L);
            }
            if (recordFault == 3 && second > 20) {
                report(second - 20, second * 1_000L + 200, (second - 20) * 10L);
            }
        }

        assertThat(requestsPerSecond()).isWithin(3.0).of(10.0);
    }

    // The log is unavailable for ten minutes. If the estimate dropped meanwhile, copies that are in
    // use would be removed.
    @Test
    void shouldKeepTheDemandWhenNoRecordArrives() {
        for (int second = 0; second <= 120; second += 5) {
            report(second, second * 1_000L, second * 10L);
        }
        double before = requestsPerSecond();

        assertThat(requestsPerSecond()).isEqualTo(before);
        assertThat(before).isGreaterThan(8.0);
    }

    // The planner duty moves to a process that starts to read in the middle of the stream. The
    // first record of a process that has run for days contains the totals of days.
    @Test
    void shouldNotEstimateAPeakWhenTheFirstRecordOfALongRunningProcessIsRead() {
        report(500, 86_400_000, 1_000_000);

        assertThat(requestsPerSecond()).isEqualTo(0.0);
        report(501, 86_410_000, 1_000_100);
        assertThat(requestsPerSecond()).isLessThan(20.0);
    }

    @Test
    void shouldFollowWithinAMinuteWhenDemandRisesTenfold() {
        long offered = 0;
        for (int second = 0; second <= 300; second += 10) {
            offered += 10;
            report(second, second * 1_000L, offered);
        }
        for (int second = 310; second <= 360; second += 10) {
            offered += 100;
            report(second, second * 1_000L, offered);
        }

        assertThat(requestsPerSecond()).isGreaterThan(7.0);
    }
}
