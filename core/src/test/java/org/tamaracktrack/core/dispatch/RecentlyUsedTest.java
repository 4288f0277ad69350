package org.tamaracktrack.core.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class RecentlyUsedTest {
    @Test
    void shouldForgetWhatWasUsedLeastRecentlyWhenItIsFull() {
        RecentlyUsed<String, Integer> map = RecentlyUsed.of(2);
        map.put("first", 1);
        map.put("second", 2);
        map.get("first");

        map.put("third", 3);

        assertThat(map.keySet()).containsExactly("first", "third");
    }

    @Test
    void shouldRefuseToKeepNothing() {
        assertThrows(IllegalArgumentException.class, () -> RecentlyUsed.of(0));
    }
}
