package org.tamaracktrack.core.config;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class SnapshotPolicyTest {
    private static final long MAXIMUM_AGE_MILLIS = 1_000;
    private static final int MAXIMUM_RECORDS = 8;

    private final SnapshotPolicy policy = SnapshotPolicy.of(MAXIMUM_AGE_MILLIS, MAXIMUM_RECORDS, 0);

    @Test
    void shouldBeDueAtOnceWhenTheHolderHasOnlyReadAnOldSnapshot() {
        policy.handleSnapshot(5, false, 10);

        assertThat(policy.isDue(6, true, 11)).isTrue();
    }

    @Test
    void shouldBeDueWhenTheNewestSnapshotReachesTheMaximumAge() {
        policy.handleSnapshot(5, true, 10);

        assertThat(policy.isDue(6, true, 10 + MAXIMUM_AGE_MILLIS - 1)).isFalse();
        assertThat(policy.isDue(6, true, 10 + MAXIMUM_AGE_MILLIS)).isTrue();
    }

    @Test
    void shouldBeDueWhenTheMaximumNumberOfRecordsFollowsTheSnapshot() {
        policy.handleSnapshot(5, true, 10);

        assertThat(policy.isDue(5 + MAXIMUM_RECORDS - 1, true, 11)).isFalse();
        assertThat(policy.isDue(5 + MAXIMUM_RECORDS, true, 11)).isTrue();
    }

    @Test
    void shouldBeDueAtAnotherDaemonWhenTheHolderWritesNoSnapshot() {
        assertThat(policy.isDue(100, false, 3 * MAXIMUM_AGE_MILLIS - 1)).isFalse();
        assertThat(policy.isDue(100, false, 3 * MAXIMUM_AGE_MILLIS)).isTrue();
    }

    // Guards against an expired newest snapshot, which would leave a new reader nothing to start
    // from. The log retains records for four times the maximum age, while the holder checks at
    // irregular intervals and is restarted from time to time.
    @Property(seed = "551", tries = 300)
    void shouldKeepASnapshotInTheLogWhenTheHolderRestartsOften(
            @ForAll @IntRange(min = 1, max = 400) int tickMillis,
            @ForAll @IntRange(min = 1, max = 5_000) int restartMillis) {
        long retentionMillis = 4 * MAXIMUM_AGE_MILLIS;
        long writtenAt = 0;
        long startedAt = 0;
        SnapshotPolicy holder = SnapshotPolicy.of(MAXIMUM_AGE_MILLIS, MAXIMUM_RECORDS, 0);
        for (long now = 0; now < 20 * MAXIMUM_AGE_MILLIS; now += tickMillis) {
            if (now - startedAt >= restartMillis) {
                startedAt = now;
                holder = SnapshotPolicy.of(MAXIMUM_AGE_MILLIS, MAXIMUM_RECORDS, now);
                holder.handleSnapshot(1, false, now);
            }
            if (holder.isDue(2, true, now)) {
                writtenAt = now;
                holder.handleSnapshot(1, true, now);
            }
            assertThat(now - writtenAt).isLessThan(retentionMillis);
        }
    }
}
