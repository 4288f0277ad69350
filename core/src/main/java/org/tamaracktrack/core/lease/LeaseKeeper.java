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
 * <p>The process trusts its lease only for the duration counted from just before the append that
 * granted it was sent, by its own monotonic clock. The log counts from when it took the append,
 * which is later, so the process stops believing before any other can be granted.
 */
public final class LeaseKeeper {
    /** Clocks may drift against the log's: a holder stops this much early. */
    private static final long MARGIN_MILLIS = 500;

    private final Duty duty;
    private final IncarnationId self;
    private final long durationMillis;
    private final long claimDelayMillis;
    private final LeaseRegister register = LeaseRegister.empty();
    private final Map<Long, Long> sentAtByOffset = new HashMap<>();
    private final Map<Long, Long> grantedTermByOffset = new HashMap<>();
    private boolean appending;
    private boolean released;
    private boolean givenUp;
    private long lastChangeMillis;
    private long nextAppendMillis;
    private long trustedUntilMillis = Long.MIN_VALUE;
    private long trustedTerm = -1;

    private LeaseKeeper(
            Duty duty, IncarnationId self, long durationMillis, long claimDelayMillis, long now) {
        this.duty = duty;
        this.self = self;
        this.durationMillis = durationMillis;
        this.claimDelayMillis = claimDelayMillis;
        this.lastChangeMillis = now;
        this.nextAppendMillis = now + claimDelayMillis;
    }

    /**
     * Returns a keeper that holds nothing.
     *
     * @param duty the duty
     * @param self this process
     * @param durationMillis how long each grant holds
     * @param claimDelayMillis how long to wait once the duty is free; drawn at random, so that not
     *     every process claims at once
     * @param nowMillis the monotonic time
     * @return the keeper
     */
    public static LeaseKeeper of(
            Duty duty,
            IncarnationId self,
            long durationMillis,
            long claimDelayMillis,
            long nowMillis) {
        Objects.requireNonNull(duty, "duty is null");
        Objects.requireNonNull(self, "self is null");
        return new LeaseKeeper(duty, self, durationMillis, claimDelayMillis, nowMillis);
    }

    /**
     * Takes the next record of the plan stream in.
     *
     * @param record the record
     * @param nowMillis the monotonic time
     */
    public void handle(LogRecord record, long nowMillis) {
        Optional<Lease> before = register.last(duty);
        register.handle(record);
        Optional<Lease> after = register.last(duty);
        if (before.equals(after)) {
            return;
        }
        lastChangeMillis = nowMillis;
        givenUp = record.entry() instanceof LogEntry.LeaseReleased;
        after.filter(lease -> !givenUp && lease.holder().equals(self))
                .ifPresentOrElse(lease -> granted(record.offset(), lease), this::lost);
    }

    private void granted(long offset, Lease lease) {
        grantedTermByOffset.put(offset, lease.term());
        trust(offset);
    }

    private void lost() {
        trustedUntilMillis = Long.MIN_VALUE;
        grantedTermByOffset.clear();
    }

    private void trust(long offset) {
        Long sentAtMillis = sentAtByOffset.get(offset);
        Long term = grantedTermByOffset.get(offset);
        if (sentAtMillis == null || term == null || released) {
            return;
        }
        trustedUntilMillis =
                Math.max(trustedUntilMillis, sentAtMillis + durationMillis - MARGIN_MILLIS);
        trustedTerm = term;
        sentAtByOffset.keySet().removeIf(old -> old <= offset);
        grantedTermByOffset.keySet().removeIf(old -> old <= offset);
    }

    /**
     * Returns the record to append now, if one is due. Until {@link #appended} or {@link #failed}
     * none other is.
     *
     * @param nowMillis the monotonic time
     * @return the record
     */
    public Optional<LogEntry> tick(long nowMillis) {
        if (appending || released || nowMillis < nextAppendMillis) {
            return Optional.empty();
        }
        Optional<Lease> last = register.last(duty);
        boolean own = last.filter(lease -> lease.holder().equals(self)).isPresent();
        if (!own && !free(last, nowMillis)) {
            return Optional.empty();
        }
        appending = true;
        long renews = own ? last.get().term() : -1;
        return Optional.of(new LogEntry.LeaseTaken(duty.text(), self, durationMillis, renews));
    }

    // The log's clock can't be read without an append, so the time since the last grant was read
    // stands in for it: reading lags, so the duty is thought free too late but never too early, and
    // a claim that comes too early all the same is refused by its offset.
    private boolean free(Optional<Lease> last, long nowMillis) {
        long lapsesMillis = last.isEmpty() || givenUp ? 0 : durationMillis;
        return nowMillis >= lastChangeMillis + lapsesMillis + claimDelayMillis;
    }

    /**
     * The record of the last {@link #tick} was written.
     *
     * @param offset its offset
     * @param sentAtMillis the monotonic time just before it was sent
     */
    public void appended(long offset, long sentAtMillis) {
        appending = false;
        nextAppendMillis = sentAtMillis + durationMillis / 3;
        sentAtByOffset.put(offset, sentAtMillis);
        trust(offset);
    }

    /**
     * The record of the last {@link #tick} was not written, or no answer says so. Such a record
     * extends nothing here, even if the log took it.
     *
     * @param nowMillis the monotonic time
     */
    public void failed(long nowMillis) {
        appending = false;
        nextAppendMillis = nowMillis + durationMillis / 10;
    }

    /**
     * Gives the duty up for good.
     *
     * @param nowMillis the monotonic time
     * @return the record to append, if the duty is held
     */
    public Optional<LogEntry> release(long nowMillis) {
        boolean holding = term(nowMillis).isPresent();
        released = true;
        trustedUntilMillis = Long.MIN_VALUE;
        return holding
                ? Optional.of(new LogEntry.LeaseReleased(duty.text(), self))
                : Optional.empty();
    }

    /**
     * Returns the term of the lease while it can be trusted.
     *
     * @param nowMillis the monotonic time
     * @return the term; empty when the duty is not held
     */
    public OptionalLong term(long nowMillis) {
        return nowMillis < trustedUntilMillis ? OptionalLong.of(trustedTerm) : OptionalLong.empty();
    }

    /**
     * Returns until when the lease can be trusted.
     *
     * @return the monotonic time
     */
    public long trustedUntilMillis() {
        return trustedUntilMillis;
    }
}
