package org.tamaracktrack.core.config;

import java.util.OptionalLong;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/**
 * Determines when a snapshot of the configuration is due, so that no reader ever needs a record
 * that has expired. The holder of the snapshot duty writes them; when none is appended for several
 * times the maximum age, any other daemon does. An extra snapshot is harmless.
 */
public final class SnapshotPolicy {
    private static final int BACKUP_AGE_FACTOR = 3;

    private final long maximumAgeMillis;
    private final int maximumRecords;
    private final long startedAtMillis;
    private OptionalLong newestSnapshotAtMillis = OptionalLong.empty();
    private long coveredUpToOffset;

    private SnapshotPolicy(long maximumAgeMillis, int maximumRecords, long startedAtMillis) {
        this.maximumAgeMillis = maximumAgeMillis;
        this.maximumRecords = maximumRecords;
        this.startedAtMillis = startedAtMillis;
    }

    /**
     * Returns a policy for a process that has not read any snapshot yet.
     *
     * @param maximumAgeMillis the maximum age of the newest snapshot; must be well below the log's
     *     retention period
     * @param maximumRecords the maximum number of records after the newest snapshot; must be well
     *     below the number of records that the log retains
     * @param nowMillis the monotonic time
     * @return the policy
     */
    public static SnapshotPolicy of(long maximumAgeMillis, int maximumRecords, long nowMillis) {
        if (maximumAgeMillis < 1 || maximumRecords < 2) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS,
                    "maximum snapshot age must be at least 1 ms and maximum records at least 2");
        }
        return new SnapshotPolicy(maximumAgeMillis, maximumRecords, nowMillis);
    }

    /**
     * Records a snapshot that agrees with the records read.
     *
     * @param coveredUpTo the first offset that the snapshot does not cover
     * @param appendedSinceStart whether it was appended while this process was reading; a snapshot
     *     found in the log at the start may be of any age
     * @param nowMillis the monotonic time
     */
    // If an old snapshot counted as new, daemons that restart often would each wait for the full
    // maximum age, and the snapshot would expire before any of them wrote the next one.
    public void handleSnapshot(long coveredUpTo, boolean appendedSinceStart, long nowMillis) {
        coveredUpToOffset = Math.max(coveredUpToOffset, coveredUpTo);
        if (appendedSinceStart) {
            newestSnapshotAtMillis = OptionalLong.of(nowMillis);
        }
    }

    /**
     * Returns whether this process should append a snapshot.
     *
     * @param nextOffset the offset of the next record to be appended
     * @param holdsDuty whether this process holds the snapshot duty
     * @param nowMillis the monotonic time
     * @return true when a snapshot is due from this process
     */
    public boolean isDue(long nextOffset, boolean holdsDuty, long nowMillis) {
        if (!holdsDuty) {
            long lastSnapshotAtMillis = newestSnapshotAtMillis.orElse(startedAtMillis);
            return nowMillis - lastSnapshotAtMillis >= BACKUP_AGE_FACTOR * maximumAgeMillis;
        }
        return newestSnapshotAtMillis.isEmpty()
                || nowMillis - newestSnapshotAtMillis.getAsLong() >= maximumAgeMillis
                || nextOffset - coveredUpToOffset >= maximumRecords;
    }
}
