package org.tamaracktrack.link.topic;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StoreEraTest {
    private final StoreEra era = StoreEra.unknown();
    private final AtomicInteger restoreNotifications = new AtomicInteger();

    @BeforeEach
    void addListener() {
        era.addRestoreListener(restoreNotifications::incrementAndGet);
    }

    @Test
    void shouldNotReportARestoreWhenTheFirstEraIsObserved() {
        assertThat(era.observe(4)).isTrue();

        assertThat(era.newest()).isEqualTo(4);
        assertThat(restoreNotifications.get()).isEqualTo(0);
    }

    @Test
    void shouldNotifyListenersOnceWhenTheEraIncreases() {
        era.observe(4);
        era.observe(5);
        era.observe(5);

        assertThat(restoreNotifications.get()).isEqualTo(1);
        assertThat(era.restores()).isEqualTo(1);
    }

    // Guards against accepting an answer that was still in transit when the store was restored.
    @Test
    void shouldRejectAnOlderEra() {
        era.observe(5);

        assertThat(era.observe(4)).isFalse();
        assertThat(era.newest()).isEqualTo(5);
    }
}
