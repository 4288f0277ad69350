package org.tamaracktrack.core.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

/**
 * Claims and renews the lease of one duty for one process.
 *
 * <p>The process treats its lease as valid only for the lease duration counted from just before it
 * sent the append that granted it, by its own monotonic clock. The log counts from when it received
 * the append, which is later, so the process stops acting before the duty can be granted to another
 * process.
 */
public final class LeaseManager {
    /**
     * The holder stops this much before its lease ends, because its clock may drift from that of
     * the log.
     */
    private static final long CLOCK_DRIFT_MARGIN_MILLIS = 500;

    private final Duty duty;
    private final IncarnationId self;
    private final long durationMillis;
    private final long claimDelayMillis;
    private final LeaseRegister register = LeaseRegister.empty();
    private final Map<Long, Long> sentAtByOffset = new HashMap<>();
    private final Map<Long, Long> grantedTermByOffset = new HashMap<>();
    private boolean appending;
    private boolean releasedBySelf;
    private boolean lastReleased;
    private long lastChangeReadMillis;
    private long nextAppendMillis;
    private long validUntilMillis = Long.MIN_VALUE;
    private long validTerm = -1;

    private LeaseManager(
            Duty duty,
            IncarnationId self,
            long durationMillis,
            long claimDelayMillis,
            long nowMillis) {
        this.duty = duty;
        this.self = self;
        this.durationMillis = durationMillis;
        this.claimDelayMillis = claimDelayMillis;
        this.lastChangeReadMillis = nowMillis;
        this.nextAppendMillis = nowMillis + claimDelayMillis;
    }

    /**
     * Returns a manager that holds no lease.
     *
     * @param duty the duty
     * @param self the identifier of this process
     * @param durationMillis the duration of each grant in milliseconds
     * @param claimDelayMillis how long to wait before claiming a free duty; chosen at random, so
     *     that the processes do not all claim at the same time
     * @param nowMillis the monotonic time in milliseconds
     * @return the manager
     */
    public static LeaseManager of(
            Duty duty,
            IncarnationId self,
            long durationMillis,
            long claimDelayMillis,
            long nowMillis) {
        Objects.requireNonNull(duty, "duty is null");
        Objects.requireNonNull(self, "self is null");
        return new LeaseManager(duty, self, durationMillis, claimDelayMillis, nowMillis);
    }

    /**
     * Applies the next record of the plan stream.
     *
     * @param record the record
     * @param nowMillis the monotonic time in milliseconds
     */
    public void handle(LogRecord record, long nowMillis) {
        Optional<Lease> previousLease = register.last(duty);
        register.handle(record);
        Optional<Lease> currentLease = register.last(duty);
        if (previousLease.equals(currentLease)) {
            return;
        }
        lastChangeReadMillis = nowMillis;
        lastReleased = record.entry() instanceof LogEntry.LeaseReleased;
        currentLease
                .filter(lease -> !lastReleased && lease.holder().equals(self))
                .ifPresentOrElse(lease -> grantRead(record.offset(), lease), this::invalidate);
    }

    private void grantRead(long offset, Lease lease) {
        grantedTermByOffset.put(offset, lease.term());
        extendValidity(offset);
    }

    private void invalidate() {
        validUntilMillis = Long.MIN_VALUE;
        grantedTermByOffset.clear();
    }

    private void extendValidity(long offset) {
        Long sentAtMillis = sentAtByOffset.get(offset);
        Long term = grantedTermByOffset.get(offset);
        if (sentAtMillis == null || term == null || releasedBySelf) {
            return;
        }
        validUntilMillis =
                Math.max(
                        validUntilMillis,
                        sentAtMillis + durationMillis - CLOCK_DRIFT_MARGIN_MILLIS);
        validTerm = term;
        sentAtByOffset.keySet().removeIf(other -> other <= offset);
        grantedTermByOffset.keySet().removeIf(other -> other <= offset);
    }

    /**
     * Returns the record to append now, if one is due. No further record is due until {@link
     * #appended} or {@link #appendFailed} was called.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the record
     */
    public Optional<LogEntry> tick(long nowMillis) {
        if (appending || releasedBySelf || nowMillis < nextAppendMillis) {
            return Optional.empty();
        }
        Optional<Lease> last = register.last(duty);
        boolean isHolder = last.filter(lease -> lease.holder().equals(self)).isPresent();
        if (!isHolder && !isClaimable(last, nowMillis)) {
            return Optional.empty();
        }
        appending = true;
        long renewedTerm = isHolder ? last.get().term() : -1;
        return Optional.of(new LogEntry.LeaseTaken(duty.text(), self, durationMillis, renewedTerm));
    }

    // The clock of the log cannot be read without an append, so the time since the last grant was
    // read is used instead. Reading lags behind the log, so the duty is considered free too late
    // but never too early; a claim that is too early nevertheless is refused because of its offset.
    private boolean isClaimable(Optional<Lease> last, long nowMillis) {
        long remainingMillis = last.isEmpty() || lastReleased ? 0 : durationMillis;
        return nowMillis >= lastChangeReadMillis + remainingMillis + claimDelayMillis;
    }

    /**
     * Records that the append of the last {@link #tick} was written.
     *
     * @param offset the offset of the written record
     * @param sentAtMillis the monotonic time just before it was sent
     */
    public void appended(long offset, long sentAtMillis) {
        appending = false;
        nextAppendMillis = sentAtMillis + durationMillis / 3;
        sentAtByOffset.put(offset, sentAtMillis);
        extendValidity(offset);
    }

    /**
     * Records that the append of the last {@link #tick} was not written or that its outcome is
     * unknown. Such a record does not extend the lease of this process, even if the log contains
     * it.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void appendFailed(long nowMillis) {
        appending = false;
        nextAppendMillis = nowMillis + durationMillis / 10;
    }

    /**
     * Releases the duty. This process does not claim it again.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the release record to append, if the duty is held
     */
    public Optional<LogEntry> release(long nowMillis) {
        boolean holding = term(nowMillis).isPresent();
        releasedBySelf = true;
        validUntilMillis = Long.MIN_VALUE;
        return holding
                ? Optional.of(new LogEntry.LeaseReleased(duty.text(), self))
                : Optional.empty();
    }

    /**
     * Returns the term of the lease while the lease is valid.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the term; empty when the duty is not held
     */
    public OptionalLong term(long nowMillis) {
        return nowMillis < validUntilMillis ? OptionalLong.of(validTerm) : OptionalLong.empty();
    }

    /**
     * Returns the time until which the lease is valid.
     *
     * @return the monotonic time in milliseconds
     */
    public long validUntilMillis() {
        return validUntilMillis;
    }
}
