package org.tamaracktrack.core.copies;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class UnansweredOrdersTest {
    private static final long NOW = 100_000;
    private static final long LONG_MILLIS = 10_000;

    private final UnansweredOrders unanswered = UnansweredOrders.none();

    @Test
    void shouldReportAnUnansweredOrderOnceOneIsRecorded() {
        assertThat(unanswered.anyRecent(NOW)).isFalse();

        unanswered.recordUnanswered(NOW);

        assertThat(unanswered.anyRecent(NOW)).isTrue();
    }

    @Test
    void shouldReportNoUnansweredOrderAfterTheWindowHasPassed() {
        unanswered.recordUnanswered(NOW);

        assertThat(unanswered.anyRecent(NOW + LONG_MILLIS)).isFalse();
    }
}
