package org.tamaracktrack.link.topic;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StoreEraTest {
    private final StoreEra era = StoreEra.unknown();
    private final AtomicInteger heard = new AtomicInteger();

    @BeforeEach
    void listen() {
        era.onRestored(heard::incrementAndGet);
    }

    @Test
    void shouldTakeTheFirstEraForNoRestore() {
        assertThat(era.note(4)).isTrue();

        assertThat(era.newest()).isEqualTo(4);
        assertThat(heard.get()).isEqualTo(0);
    }

    @Test
    void shouldTellOnceWhenTheEraRises() {
        era.note(4);
        era.note(5);
        era.note(5);

        assertThat(heard.get()).isEqualTo(1);
        assertThat(era.restores()).isEqualTo(1);
    }

    // Guards against an answer that was on its way while the store came back.
    @Test
    void shouldRefuseAnOlderEra() {
        era.note(5);

        assertThat(era.note(4)).isFalse();
        assertThat(era.newest()).isEqualTo(5);
    }
}
