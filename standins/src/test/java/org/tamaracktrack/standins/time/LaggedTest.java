package org.tamaracktrack.standins.time;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class LaggedTest {

    @Test
    void shouldShowTheValueAsItWas() {
        Lagged<String> value = Lagged.of("first");
        value.set(10, "second");
        value.set(20, "third");
        assertThat(value.at(9)).isEqualTo("first");
        assertThat(value.at(19)).isEqualTo("second");
        assertThat(value.latest()).isEqualTo("third");
    }

    @Test
    void shouldShowTheOldestKnownWhenAskedForAnOlderOne() {
        Lagged<String> value = Lagged.of("first");
        value.set(10, "second");
        value.at(15);
        assertThat(value.at(5)).isEqualTo("second");
    }
}
