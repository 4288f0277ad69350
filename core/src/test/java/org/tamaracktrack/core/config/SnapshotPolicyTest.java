package org.tamaracktrack.core.config;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class SnapshotPolicyTest {
    private static final long AGE = 1_000;
    private static final int RECORDS = 8;

    private final SnapshotPolicy policy = SnapshotPolicy.of(AGE, RECORDS, 0);

    @Test
    void shouldBeDueAtOnceWhenTheHolderFoundAnOldSnapshot() {
        policy.seen(5, false, 10);

        assertThat(policy.isDue(6, true, 11)).isTrue();
    }

    @Test
    void shouldBeDueWhenTheNewestIsOfAge() {
        policy.seen(5, true, 10);

        assertThat(policy.isDue(6, true, 10 + AGE - 1)).isFalse();
        assertThat(policy.isDue(6, true, 10 + AGE)).isTrue();
    }

    @Test
    void shouldBeDueWhenManyRecordsFollowed() {
        policy.seen(5, true, 10);

        assertThat(policy.isDue(5 + RECORDS - 1, true, 11)).isFalse();
        assertThat(policy.isDue(5 + RECORDS, true, 11)).isTrue();
    }

    @Test
    void shouldBeDueElsewhereWhenTheHolderWritesNone() {
        assertThat(policy.isDue(100, false, 3 * AGE - 1)).isFalse();
        assertThat(policy.isDue(100, false, 3 * AGE)).isTrue();
    }

    // The record that a newcomer needs is the newest snapshot. The log keeps records for four ages;
    // the holder's ticks come late and its process is replaced now and then. If the snapshot ever
    // expired, a newcomer would find nothing to start from.
    @Property(seed = "551", tries = 300)
    void shouldKeepASnapshotInTheLogWhenHoldersComeAndGo(
            @ForAll @IntRange(min = 1, max = 400) int tickMillis,
            @ForAll @IntRange(min = 1, max = 5_000) int restartMillis) {
        long retentionMillis = 4 * AGE;
        long writtenAt = 0;
        long startedAt = 0;
        SnapshotPolicy holder = SnapshotPolicy.of(AGE, RECORDS, 0);
        for (long now = 0; now < 20 * AGE; now += tickMillis) {
            if (now - startedAt >= restartMillis) {
                startedAt = now;
                holder = SnapshotPolicy.of(AGE, RECORDS, now);
                holder.seen(1, false, now);
            }
            if (holder.isDue(2, true, now)) {
                writtenAt = now;
                holder.seen(1, true, now);
            }
            assertThat(now - writtenAt).isLessThan(retentionMillis);
        }
    }
}
