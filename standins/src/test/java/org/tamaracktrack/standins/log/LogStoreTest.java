package org.tamaracktrack.standins.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class LogStoreTest {

    @Property(seed = "12")
    void shouldReadAGaplessRangeOfTheStream(
            @ForAll @IntRange(max = 50) int appends,
            @ForAll @IntRange(min = 1, max = 60) int retained,
            @ForAll @IntRange(max = 60) int from,
            @ForAll @IntRange(min = 1, max = 60) int maximum) {
        LogStore store = LogStore.of(retained);
        for (int record = 0; record < appends; record++) {
            assertThat(store.append("s", "b" + record, record).offset()).isEqualTo(record);
        }
        LogStore.Page page = store.read("s", from, maximum);
        assertThat(page.nextOffset()).isEqualTo(appends);
        assertThat(page.firstOffset()).isEqualTo(Math.max(0, appends - retained));
        long first = Math.max(from, page.firstOffset());
        for (int record = 0; record < page.records().size(); record++) {
            assertThat(page.records().get(record).body()).isEqualTo("b" + (first + record));
        }
        long expectedRecords = Math.min(maximum, Math.max(0, appends - first));
        assertThat(page.records()).hasSize((int) expectedRecords);
    }

    @Test
    void shouldKeepStreamsSeparate() {
        LogStore store = LogStore.of(10);
        store.append("s", "x", 1);
        assertThat(store.read("t", 0, 10)).isEqualTo(new LogStore.Page(0, 0, List.of()));
    }

    @Test
    void shouldExpireRecordsAtOnceWhenRetentionIsReduced() {
        LogStore store = LogStore.of(10);
        store.append("s", "x", 1);
        store.append("s", "y", 1);
        store.setRetainedRecords(1);
        assertThat(store.read("s", 0, 10).firstOffset()).isEqualTo(1);
    }
}
