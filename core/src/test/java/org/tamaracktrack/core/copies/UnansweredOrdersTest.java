package org.tamaracktrack.core.copies;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class UnansweredOrdersTest {
    private static final long NOW = 100_000;
    private static final long LONG_MILLIS = 10_000;

    private final UnansweredOrders unanswered = UnansweredOrders.none();

    @Test
    void shouldTrustOrdersUntilOneIsNotAnswered() {
        assertThat(unanswered.recent(NOW)).isFalse();

        unanswered.note(NOW);

        assertThat(unanswered.recent(NOW)).isTrue();
    }

    @Test
    void shouldTrustOrdersAgainWhenAllAreAnswered() {
        unanswered.note(NOW);

        assertThat(unanswered.recent(NOW + LONG_MILLIS)).isFalse();
    }
}
