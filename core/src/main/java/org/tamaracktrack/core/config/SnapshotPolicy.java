package org.tamaracktrack.core.config;

import java.util.OptionalLong;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/**
 * Decides when a snapshot of the configuration is due, so that no reader ever needs a record that
 * has expired. The holder of the duty writes them; when none comes for long, any other daemon does.
 * A snapshot too many changes nothing.
 */
public final class SnapshotPolicy {
    private static final int BACKUP_FACTOR = 3;

    private final long maximumAgeMillis;
    private final int maximumRecords;
    private final long startedAtMillis;
    private OptionalLong seenAtMillis = OptionalLong.empty();
    private long upTo;

    private SnapshotPolicy(long maximumAgeMillis, int maximumRecords, long startedAtMillis) {
        this.maximumAgeMillis = maximumAgeMillis;
        this.maximumRecords = maximumRecords;
        this.startedAtMillis = startedAtMillis;
    }

    /**
     * Returns a policy that has seen no snapshot.
     *
     * @param maximumAgeMillis how old the newest snapshot may become; well below the time for which
     *     the log keeps records
     * @param maximumRecords how many records may follow the newest snapshot; well below the number
     *     that the log keeps
     * @param nowMillis the monotonic time
     * @return the policy
     */
    public static SnapshotPolicy of(long maximumAgeMillis, int maximumRecords, long nowMillis) {
        if (maximumAgeMillis < 1 || maximumRecords < 2) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS, "a snapshot would be due at once, always");
        }
        return new SnapshotPolicy(maximumAgeMillis, maximumRecords, nowMillis);
    }

    /**
     * Hears of a snapshot that agrees with what was read.
     *
     * @param coveredUpTo the first offset that it does not cover
     * @param live whether it was appended while this process was reading; one found in the log at
     *     the start may be of any age
     * @param nowMillis the monotonic time
     */
    // Counting an old snapshot as new, daemons that restart often would each wait a full age, and
    // the snapshot would expire before any of them wrote the next.
    public void seen(long coveredUpTo, boolean live, long nowMillis) {
        upTo = Math.max(upTo, coveredUpTo);
        if (live) {
            seenAtMillis = OptionalLong.of(nowMillis);
        }
    }

    /**
     * Returns whether this process should append a snapshot.
     *
     * @param nextOffset the offset of the record to be appended next
     * @param holdsDuty whether this process holds the duty
     * @param nowMillis the monotonic time
     * @return true when it should
     */
    public boolean isDue(long nextOffset, boolean holdsDuty, long nowMillis) {
        if (!holdsDuty) {
            long since = seenAtMillis.orElse(startedAtMillis);
            return nowMillis - since >= BACKUP_FACTOR * maximumAgeMillis;
        }
        return seenAtMillis.isEmpty()
                || nowMillis - seenAtMillis.getAsLong() >= maximumAgeMillis
                || nextOffset - upTo >= maximumRecords;
    }
}
