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

    private double perSecond() {
        return estimator.demand().getOrDefault(MODEL, ModelDemand.NONE).requestsPerSecond();
    }

    // Ten requests a second arrive. A fifth of the records is lost, a fifth doubled, some come
    // late.
    // Taken for news, a doubled record would show twice the demand and cause moves.
    @Property(seed = "51", tries = 100)
    void shouldFindTheRateWhenRecordsAreLostDoubledAndLate(
            @ForAll @LongRange(max = 1_000_000) long seed) {
        Random random = new Random(seed);
        for (int second = 0; second <= 300; second += 5) {
            int fate = second == 0 || second == 300 ? 2 : random.nextInt(5);
            if (fate != 0) {
                report(second, second * 1_000L, second * 10L);
            }
            if (fate == 1) {
                report(second, second * 1_000L + 100, second * 10L);
            }
            if (fate == 3 && second > 20) {
                report(second - 20, second * 1_000L + 200, (second - 20) * 10L);
            }
        }

        assertThat(perSecond()).isWithin(3.0).of(10.0);
    }

    // The log is out for ten minutes. Demand that seems gone would have copies dropped that are in
    // use.
    @Test
    void shouldKeepTheDemandWhenNoRecordArrives() {
        for (int second = 0; second <= 120; second += 5) {
            report(second, second * 1_000L, second * 10L);
        }
        double before = perSecond();

        assertThat(perSecond()).isEqualTo(before);
        assertThat(before).isGreaterThan(8.0);
    }

    // The planner's duty moves to a process that reads from the middle of the stream: the first
    // record of a process that has run for days sums up days.
    @Test
    void shouldNotTakeAnOldProcessForAPeakWhenItsFirstRecordIsRead() {
        report(500, 86_400_000, 1_000_000);

        assertThat(perSecond()).isEqualTo(0.0);
        report(501, 86_410_000, 1_000_100);
        assertThat(perSecond()).isLessThan(20.0);
    }

    @Test
    void shouldFollowATenfoldRiseWithinAMinute() {
        long offered = 0;
        for (int second = 0; second <= 300; second += 10) {
            offered += 10;
            report(second, second * 1_000L, offered);
        }
        for (int second = 310; second <= 360; second += 10) {
            offered += 100;
            report(second, second * 1_000L, offered);
        }

        assertThat(perSecond()).isGreaterThan(7.0);
    }
}
