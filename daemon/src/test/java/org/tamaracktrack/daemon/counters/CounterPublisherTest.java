package org.tamaracktrack.daemon.counters;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.log.LogEntry.CountersPublished;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.daemon.duty.InMemoryLogClient;

class CounterPublisherTest {
    private static final String COUNTER_NAME = "requests|north|approval|interactive|in_class";

    private final InMemoryLogClient log = new InMemoryLogClient();
    private final Counters counters = Counters.empty();

    private CounterPublisher start() {
        return CounterPublisher.start(log, IncarnationId.of("entry-1"), "entry", 20, counters);
    }

    private List<CountersPublished> published() {
        return log.entries(LogStream.REPORTS, CountersPublished.class);
    }

    // The log is unavailable while requests are served. The records after the outage must include
    // what was counted during it, because the values are stored nowhere else.
    @Test
    void shouldPublishTheAccumulatedCountersAfterTheLogWasUnavailable() {
        CounterPublisher publisher = start();
        log.await(LogStream.REPORTS, CountersPublished.class, record -> true);
        log.setUnavailable(true);
        counters.add(COUNTER_NAME, 7);

        log.setUnavailable(false);
        log.await(
                LogStream.REPORTS,
                CountersPublished.class,
                record -> record.counters().getOrDefault(COUNTER_NAME, 0L) == 7);

        publisher.drain(1_000);
        assertThat(published().stream().map(CountersPublished::sequence).toList())
                .isInStrictOrder();
    }

    @Test
    void shouldPublishOneFinalRecordWithAllCountersWhenDrained() {
        CounterPublisher publisher = start();
        counters.add(COUNTER_NAME, 3);

        assertThat(publisher.drain(1_000)).isTrue();

        CountersPublished last = published().get(published().size() - 1);
        assertThat(last.last()).isTrue();
        assertThat(last.counters()).containsExactly(COUNTER_NAME, 3L);
        assertThat(published().stream().filter(CountersPublished::last).count()).isEqualTo(1);
    }

    @Test
    void shouldReportTheFinalRecordAsLostWhenTheLogStaysUnavailable() {
        log.setUnavailable(true);
        CounterPublisher publisher = start();

        assertThat(publisher.drain(300)).isFalse();
        assertThat(published()).isEmpty();
    }
}
