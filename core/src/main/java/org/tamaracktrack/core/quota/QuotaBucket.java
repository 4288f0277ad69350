package org.tamaracktrack.core.quota;

/**
 * The token bucket of one client account at a coordinator. Rate and capacity are those of the quota
 * times the coordinator's authority. At a new coordinator it starts empty, since a previous one may
 * just have admitted a full burst. Confined to the traffic thread.
 */
final class QuotaBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** At most one coordinator has more authority than this. */
    static final double MAJORITY = 0.5;

    private final double tolerance;
    private final ReturnSchedule returns = ReturnSchedule.empty();
    private QuotaLimit limit;
    private double authority;
    private double level;
    private long updatedAtMillis;

    private QuotaBucket(QuotaLimit limit, double tolerance, double authority, long nowMillis) {
        this.tolerance = tolerance;
        this.limit = limit;
        this.authority = authority;
        this.updatedAtMillis = nowMillis;
    }

    /**
     * Returns a bucket that was not in use before.
     *
     * @param limit the quota
     * @param tolerance units that may be used in addition to the burst
     * @param authority the coordinator's authority
     * @param earnedMillis for how long the bucket would have been filled at the full rate
     * @param nowMillis the monotonic time in milliseconds
     */
    static QuotaBucket of(
            QuotaLimit limit,
            double tolerance,
            double authority,
            double earnedMillis,
            long nowMillis) {
        QuotaBucket bucket = new QuotaBucket(limit, tolerance, authority, nowMillis);
        bucket.earn(limit.ratePerSecond() * earnedMillis / MILLIS_PER_SECOND);
        return bucket;
    }

    /** Adds what became available since the last call. */
    void advance(long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - updatedAtMillis);
        updatedAtMillis = Math.max(updatedAtMillis, nowMillis);
        earn(elapsedMillis * limit.ratePerSecond() * authority / MILLIS_PER_SECOND);
    }

    private void earn(double units) {
        level = Math.min(level + units, capacity());
    }

    /** Sets the authority from the last call of {@link #advance} on. */
    void setAuthority(double newAuthority) {
        authority = newAuthority;
        level = Math.min(level, capacity());
    }

    /** Applies the limit of a newer version of the configuration. */
    void apply(QuotaLimit newer) {
        if (newer.version() > limit.version()) {
            limit = newer;
            level = Math.min(level, capacity());
        }
    }

    private double capacity() {
        return (limit.burst() + tolerance) * authority;
    }

    /**
     * Takes the units of one request.
     *
     * @return false when the quota has no room for it
     */
    boolean tryTake(long cost) {
        if (level < needed(cost)) {
            return false;
        }
        level -= cost;
        return true;
    }

    // A request above the burst could never run otherwise. It is admitted when the bucket is full,
    // and later requests pay for the difference. Coordinators with little authority don't admit it,
    // since each of them would go into debt.
    private double needed(long cost) {
        return authority > MAJORITY ? Math.min(cost, capacity()) : cost;
    }

    void giveBack(long units) {
        level = Math.min(level + units, capacity());
    }

    /**
     * Returns when a refused caller should return, behind those refused before, in milliseconds.
     */
    long millisUntilReturn(long cost) {
        return returns.add(
                cost, limit.ratePerSecond() * authority, millisUntilRoom(cost), updatedAtMillis);
    }

    /** Returns the time until a request has room, in milliseconds; very long without authority. */
    long millisUntilRoom(long cost) {
        double missing = Math.max(0, needed(cost) - level);
        return missing == 0
                ? 0
                : (long)
                        Math.min(
                                Integer.MAX_VALUE,
                                Math.ceil(
                                        missing
                                                * MILLIS_PER_SECOND
                                                / (limit.ratePerSecond() * authority)));
    }
}
