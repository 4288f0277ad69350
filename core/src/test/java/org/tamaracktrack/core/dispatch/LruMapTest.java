package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class LruMapTest {
    @Test
    void shouldEvictLeastRecentlyUsedEntryWhenFull() {
        LruMap<String, Integer> map = LruMap.of(2);
        map.put("first", 1);
        map.put("second", 2);
        map.get("first");

        map.put("third", 3);

        assertThat(map.keySet()).containsExactly("first", "third");
    }

    @Test
    void shouldRejectCapacityOfZero() {
        assertThrows(IllegalArgumentException.class, () -> LruMap.of(0));
    }
}
