package org.tamaracktrack.core.lease;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * Grants a lease to one holder at a time by records in a log that provides no clock and that
 * accepts an append only if the log still ends at an expected offset. Used by the control thread
 * only.
 *
 * <p>A holder acts only for the validity period, counted from just before it sent its last
 * acknowledged record. Other processes count the same period from when they read that record, which
 * is later, and only then append a claim on the condition that no record was added since. The
 * holder therefore stops before another process can be granted the lease. The new holder
 * additionally waits for a pause, so that orders of the previous holder that are still in transit
 * do not conflict with its own.
 */
public final class ConditionalLease {
    private static final String NO_HOLDER = "";

    private final String self;
    private final Optional<String> address;
    private final Supplier<Optional<Contact>> contact;
    private final Terms terms;
    private long nonce;
    private long nextOffset;
    private boolean caughtUp;
    private String holder = NO_HOLDER;
    private long term = -1;
    private boolean released;
    private long holderRecordReadMillis;
    private Optional<PendingAppend> pendingAppend = Optional.empty();
    private long validUntilMillis = Long.MIN_VALUE;
    private long mayActFromMillis;
    private long restorePauseEndMillis = Long.MIN_VALUE;
    private long renewalCount;
    private long nextAppendMillis;
    private boolean releasedBySelf;
    private Optional<Contact> holderContact = Optional.empty();

    /**
     * The times of a lease, in milliseconds.
     *
     * @param validityMillis how long a holder may act after sending a record
     * @param renewalIntervalMillis the interval between two renewals
     * @param handoverPauseMillis the pause between the last action of one holder and the first of
     *     the next
     * @param claimDelayMillis how much longer than other processes this process waits before it
     *     claims
     */
    public record Terms(
            long validityMillis,
            long renewalIntervalMillis,
            long handoverPauseMillis,
            long claimDelayMillis) {
        /** Well above the 0.4 s within which a slow log responds. */
        private static final long VALIDITY_MILLIS = 2_000;

        /** Allows two consecutive renewals to be lost before the holder stops. */
        private static final long RENEWAL_INTERVAL_MILLIS = 700;

        /** Added to the pause between two holders, for orders in transit and clock drift. */
        private static final long HANDOVER_MARGIN_MILLIS = 300;

        private static final long CLAIM_MARGIN_MILLIS = 200;

        /**
         * Returns the terms that are used in production.
         *
         * @param pauseMillis the required pause between two holders, without margin
         * @param claimDelayMillis how much longer than other processes this process waits before it
         *     claims
         * @return the terms
         */
        public static Terms of(long pauseMillis, long claimDelayMillis) {
            return new Terms(
                    VALIDITY_MILLIS,
                    RENEWAL_INTERVAL_MILLIS,
                    pauseMillis + HANDOVER_MARGIN_MILLIS,
                    CLAIM_MARGIN_MILLIS + claimDelayMillis);
        }
    }

    /**
     * A record of the lease.
     *
     * @param holder the name of the process that holds the lease
     * @param term the offset of the claim, used as the fencing number; ignored in a claim
     * @param claim whether the record begins a term
     * @param release whether the record ends a term
     * @param nonce a number by which a process tells its own records apart
     * @param contact the contact of the holder, if it can be reached
     */
    public record LeaseRecord(
            String holder,
            long term,
            boolean claim,
            boolean release,
            long nonce,
            Optional<Contact> contact) {}

    /**
     * The address at which a holder can be reached, and the secret of its connections.
     *
     * @param address the IP address and port of the holder
     * @param secret the shared secret that both ends of a connection prove to know
     */
    public record Contact(String address, String secret) {}

    /**
     * A record to append.
     *
     * @param content the record
     * @param expectedEnd the offset at which the log must end for the append to succeed
     */
    public record Append(LeaseRecord content, long expectedEnd) {}

    private record PendingAppend(LeaseRecord content, long sentAtMillis) {}

    private ConditionalLease(
            String self,
            Optional<String> address,
            Supplier<Optional<Contact>> contact,
            Terms terms) {
        this.self = self;
        this.address = address;
        this.contact = contact;
        this.terms = terms;
    }

    /**
     * Returns a lease that is not held.
     *
     * @param self the unique name of this process
     * @param address the address of this process as it appears in its contacts; a holder with the
     *     same address is a predecessor of this process on the same host, which has ended
     * @param contact supplies the contact of this process each time it writes a record
     * @param terms the times of the lease
     * @return the lease
     */
    public static ConditionalLease of(
            String self,
            Optional<String> address,
            Supplier<Optional<Contact>> contact,
            Terms terms) {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(contact, "contact is null");
        Objects.requireNonNull(terms, "terms is null");
        return new ConditionalLease(self, address, contact, terms);
    }

    /**
     * Returns the contact of the holder when another process holds the lease, as far as it is
     * known.
     *
     * @return the contact; empty when there is no holder, when this process is the holder, or when
     *     the holder gave no contact
     */
    public Optional<Contact> otherHolderContact() {
        return released || holder.equals(self) ? Optional.empty() : holderContact;
    }

    /**
     * Returns the offset of the next record to read.
     *
     * @return the offset
     */
    public long readFrom() {
        return nextOffset;
    }

    /**
     * Returns whether the log has to be read before this process can claim or renew.
     *
     * @return true when the log may contain records that were not read yet
     */
    public boolean mustRead() {
        return !caughtUp;
    }

    /**
     * Applies a record that was read from the log.
     *
     * @param offset the offset of the record
     * @param content the record
     * @param nowMillis the monotonic time in milliseconds
     */
    public void read(long offset, LeaseRecord content, long nowMillis) {
        if (offset < nextOffset) {
            return;
        }
        apply(offset, content, nowMillis);
        pendingAppend
                .filter(append -> append.content().equals(content))
                .ifPresent(append -> extendValidity(append.sentAtMillis()));
    }

    private void apply(long offset, LeaseRecord content, long nowMillis) {
        if (content.claim() && !holder.equals(content.holder())) {
            mayActFromMillis = earliestActionMillis(content, nowMillis);
            renewalCount = 0;
        } else {
            renewalCount++;
        }
        nextOffset = offset + 1;
        holder = content.holder();
        term = content.claim() ? offset : content.term();
        released = content.release();
        holderContact = content.contact();
        holderRecordReadMillis = nowMillis;
        if (!holder.equals(self)) {
            validUntilMillis = Long.MIN_VALUE;
        }
    }

    private long earliestActionMillis(LeaseRecord claim, long nowMillis) {
        if (holder.equals(NO_HOLDER)) {
            return nowMillis;
        }
        // A process that starts at the address of the holder need not wait for that holder: it has
        // ended, and engines treat both as one. Only the pause after the holder before it may still
        // be running, and each renewal since then shows that a part of that pause has passed.
        // Without this, the first orders after a restart of all hosts would wait for the validity
        // and the pause of a holder that no longer runs.
        if (claim.holder().equals(self) && wasHeldByPredecessor()) {
            return Math.max(
                    nowMillis, mayActFromMillis - renewalCount * terms.renewalIntervalMillis());
        }
        // The time for which the previous holder may still act is counted from when its last record
        // was read.
        long lastActionMillis =
                released ? holderRecordReadMillis : holderRecordReadMillis + terms.validityMillis();
        return lastActionMillis + terms.handoverPauseMillis();
    }

    private boolean wasHeldByPredecessor() {
        return !holder.equals(self)
                && address.isPresent()
                && address.equals(holderContact.map(Contact::address));
    }

    /**
     * Records that a read found no further record.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void caughtUp(long nowMillis) {
        caughtUp = true;
        if (pendingAppend.isPresent()
                && nowMillis - pendingAppend.get().sentAtMillis() > terms.validityMillis()) {
            pendingAppend = Optional.empty();
        }
    }

    /**
     * Records that entries expired from the log before they were read.
     *
     * @param firstOffset the offset of the first record that the log still contains
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordsExpired(long firstOffset, long nowMillis) {
        // Another process may hold the lease by a record that can no longer be read.
        nextOffset = firstOffset;
        holder = "unknown";
        holderContact = Optional.empty();
        released = false;
        holderRecordReadMillis = nowMillis;
        validUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Records that the log was restored from a copy, and may have lost records, including those of
     * the holder.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void logRestored(long nowMillis) {
        invalidate();
        // Another process may still act by a record that was lost, because it has not learnt of the
        // restore yet.
        recordsExpired(0, nowMillis);
        restorePauseEndMillis = nowMillis + terms.validityMillis() + terms.handoverPauseMillis();
    }

    /**
     * Returns the record to append now, if one is due.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the record
     */
    public Optional<Append> tick(long nowMillis) {
        if (releasedBySelf
                || !caughtUp
                || pendingAppend.isPresent()
                || nowMillis < nextAppendMillis) {
            return Optional.empty();
        }
        boolean isHolder = holder.equals(self) && !released;
        if (!isHolder && !isClaimable(nowMillis)) {
            return Optional.empty();
        }
        LeaseRecord content =
                new LeaseRecord(
                        self, isHolder ? term : 0, !isHolder, false, ++nonce, contact.get());
        return prepareAppend(content, nowMillis);
    }

    private Optional<Append> prepareAppend(LeaseRecord content, long nowMillis) {
        pendingAppend = Optional.of(new PendingAppend(content, nowMillis));
        nextAppendMillis = nowMillis + terms.renewalIntervalMillis();
        return Optional.of(new Append(content, nextOffset));
    }

    private boolean isClaimable(long nowMillis) {
        if (holder.equals(NO_HOLDER)) {
            return nowMillis >= terms.claimDelayMillis();
        }
        if (wasHeldByPredecessor()) {
            return true;
        }
        long validityMillis = released ? 0 : terms.validityMillis();
        return nowMillis >= holderRecordReadMillis + validityMillis + terms.claimDelayMillis();
    }

    /**
     * Records that the append of the last {@link #tick} was written.
     *
     * @param offset the offset of the written record
     * @param nowMillis the monotonic time in milliseconds
     */
    public void appended(long offset, long nowMillis) {
        pendingAppend.ifPresent(
                append -> {
                    if (offset >= nextOffset) {
                        apply(offset, append.content(), nowMillis);
                    }
                    extendValidity(append.sentAtMillis());
                });
    }

    private void extendValidity(long sentAtMillis) {
        pendingAppend = Optional.empty();
        if (holder.equals(self) && !released && !releasedBySelf) {
            validUntilMillis = Math.max(validUntilMillis, sentAtMillis + terms.validityMillis());
        }
    }

    /**
     * Records that the append was not written because the log did not end at the expected offset.
     */
    public void appendConflicted() {
        pendingAppend = Optional.empty();
        caughtUp = false;
    }

    /** Records that the append was not written. */
    public void appendRejected() {
        pendingAppend = Optional.empty();
    }

    /** Records that the append got no response: it may have been written, or may still be. */
    public void appendUnanswered() {
        caughtUp = false;
    }

    /** Ends the validity of the lease because the process was suspended for an unknown time. */
    public void invalidate() {
        validUntilMillis = Long.MIN_VALUE;
        pendingAppend = Optional.empty();
        caughtUp = false;
    }

    /**
     * Releases the lease. This process does not claim it again.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the release record to append, if the lease is held
     */
    public Optional<Append> release(long nowMillis) {
        boolean holding = nowMillis < validUntilMillis;
        releasedBySelf = true;
        validUntilMillis = Long.MIN_VALUE;
        if (!holding) {
            return Optional.empty();
        }
        return prepareAppend(
                new LeaseRecord(self, term, false, true, ++nonce, contact.get()), nowMillis);
    }

    /**
     * Returns the term of the lease while this process may act as the holder.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the term, used as the fencing number; empty when this process may not act
     */
    public OptionalLong term(long nowMillis) {
        boolean mayAct =
                nowMillis < validUntilMillis
                        && nowMillis >= mayActFromMillis
                        && nowMillis >= restorePauseEndMillis;
        return mayAct ? OptionalLong.of(term) : OptionalLong.empty();
    }

    /**
     * Returns the time until which this process may act if it sends no further record.
     *
     * @return the monotonic time in milliseconds
     */
    public long validUntilMillis() {
        return validUntilMillis;
    }

    /**
     * Returns whether this process holds the lease, even if it may not act yet.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return true when this process holds the lease
     */
    public boolean holds(long nowMillis) {
        return nowMillis < validUntilMillis;
    }
}
