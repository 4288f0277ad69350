package org.tamaracktrack.core.quarantine;

import java.util.Collection;
import java.util.OptionalLong;
import java.util.stream.LongStream;

/**
 * Holds a part after two ends at which a target was beginning to answer a prompt with it, or five
 * of any kind. Targets that end at the same moment have a common cause outside of their requests,
 * so the ends must lie apart.
 *
 * <p>No sound part is answered while it is held, so nothing would ever clear a part that is held by
 * mistake. Therefore single requests are tried, fewer the more ends there were.
 */
final class PartHoldPolicy implements HoldPolicy {
    private static final int RUNNING_ENDS_BEFORE_HOLD = 2;
    private static final int ENDS_BEFORE_HOLD = 5;

    /** Ends closer together than this count as one moment. */
    private static final long MOMENT_MILLIS = 500;

    private static final int MOMENTS_BEFORE_LONG_DELAY = 2;
    private static final int MOMENTS_WITHOUT_TRIAL = 4;
    private static final int ENDS_WITHOUT_TRIAL = 8;
    private static final long TRIAL_DELAY_MILLIS = 30_000;
    private static final long LONG_TRIAL_DELAY_MILLIS = 5 * 60_000;

    private PartHoldPolicy() {}

    static PartHoldPolicy of() {
        return new PartHoldPolicy();
    }

    @Override
    public boolean holds(Collection<ObservedEnd> ends) {
        LongStream runningTimes =
                ends.stream().filter(ObservedEnd::ran).mapToLong(ObservedEnd::atMillis);
        LongStream allTimes = ends.stream().mapToLong(ObservedEnd::atMillis);
        return isApart(runningTimes.sorted().toArray(), RUNNING_ENDS_BEFORE_HOLD)
                || isApart(allTimes.sorted().toArray(), ENDS_BEFORE_HOLD);
    }

    private static boolean isApart(long[] sortedTimes, int minimumCount) {
        return sortedTimes.length >= minimumCount
                && sortedTimes[sortedTimes.length - 1] - sortedTimes[0] >= MOMENT_MILLIS;
    }

    @Override
    public OptionalLong trialDueMillis(Collection<ObservedEnd> ends) {
        long[] times = ends.stream().mapToLong(ObservedEnd::atMillis).sorted().toArray();
        int moments = countMoments(times);
        if (times.length == 0
                || times.length >= ENDS_WITHOUT_TRIAL
                || moments >= MOMENTS_WITHOUT_TRIAL) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(
                times[times.length - 1]
                        + (moments <= MOMENTS_BEFORE_LONG_DELAY
                                ? TRIAL_DELAY_MILLIS
                                : LONG_TRIAL_DELAY_MILLIS));
    }

    private static int countMoments(long[] sortedTimes) {
        int moments = 0;
        long begunMillis = Long.MIN_VALUE / 2;
        for (long time : sortedTimes) {
            if (time - begunMillis >= MOMENT_MILLIS) {
                moments++;
                begunMillis = time;
            }
        }
        return moments;
    }
}
