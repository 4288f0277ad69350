package org.tamaracktrack.standins.time;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class LaggedValueTest {

    @Test
    void shouldReturnTheValueAtThatTime() {
        LaggedValue<String> value = LaggedValue.of("first");
        value.set(10, "second");
        value.set(20, "third");
        assertThat(value.valueAt(9)).isEqualTo("first");
        assertThat(value.valueAt(19)).isEqualTo("second");
        assertThat(value.latest()).isEqualTo("third");
    }

    @Test
    void shouldReturnTheOldestRetainedValueForAnEarlierTime() {
        LaggedValue<String> value = LaggedValue.of("first");
        value.set(10, "second");
        value.valueAt(15);
        assertThat(value.valueAt(5)).isEqualTo("second");
    }
}
