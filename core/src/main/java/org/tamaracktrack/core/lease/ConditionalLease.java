package org.tamaracktrack.core.lease;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * One holder at a time by records in a log that has no clock and appends on the condition of its
 * end. Owned by the control thread.
 *
 * <p>A holder acts only for a while counted from just before it sent its last acknowledged record.
 * Others count the same while from when they read that record, which is later, and only then append
 * a claim on the condition that nothing came since. So the holder stops before another can be
 * granted. The new holder waits besides, so that orders of the old one that are still on their way
 * do not meet its own.
 */
public final class ConditionalLease {
    private static final String NOBODY = "";

    private final String self;
    private final Optional<String> address;
    private final Supplier<Optional<Contact>> contact;
    private final Terms terms;
    private long nonce;
    private long end;
    private boolean caughtUp;
    private String holder = NOBODY;
    private long term = -1;
    private boolean released;
    private long holderSeenMillis;
    private Optional<Sent> pending = Optional.empty();
    private long trustedUntilMillis = Long.MIN_VALUE;
    private long actFromMillis;
    private long notBeforeMillis = Long.MIN_VALUE;
    private long renewals;
    private long nextAppendMillis;
    private boolean left;
    private Optional<Contact> holderContact = Optional.empty();

    /**
     * Times of a lease, in milliseconds.
     *
     * @param trust how long a holder acts after sending a record
     * @param renew how often it sends one
     * @param quiet the pause between the last act of one holder and the first of the next
     * @param delay what this process waits longer than others before it claims
     */
    public record Terms(long trust, long renew, long quiet, long delay) {
        /** A holder acts this long after its last renewal; slow answers of a log take 0.4 s. */
        private static final long TRUST_MILLIS = 2_000;

        /** Two renewals may be lost before the holder stops. */
        private static final long RENEW_MILLIS = 700;

        /** On top of the pause between two holders: acts on their way, and clock drift. */
        private static final long QUIET_MARGIN_MILLIS = 300;

        private static final long LEASE_MARGIN_MILLIS = 200;

        /**
         * Returns the terms in force.
         *
         * @param pause the pause that is asked for between two holders
         * @param delay what this process waits longer than others before it claims
         * @return the terms
         */
        public static Terms of(long pause, long delay) {
            return new Terms(
                    TRUST_MILLIS,
                    RENEW_MILLIS,
                    pause + QUIET_MARGIN_MILLIS,
                    LEASE_MARGIN_MILLIS + delay);
        }
    }

    /**
     * A record of the lease.
     *
     * @param holder who holds
     * @param term the offset of the claim, a fencing number; ignored in a claim
     * @param claim whether it begins a term
     * @param release whether it ends one
     * @param nonce tells a process its own records apart
     * @param contact where the holder can be reached, if it can
     */
    public record LeaseRecord(
            String holder,
            long term,
            boolean claim,
            boolean release,
            long nonce,
            Optional<Contact> contact) {}

    /**
     * Where a holder can be reached.
     *
     * @param address its IP number and port
     * @param secret what both ends of a connection prove to know
     */
    public record Contact(String address, String secret) {}

    /**
     * A record to append.
     *
     * @param content the record
     * @param expectedEnd where the log must end
     */
    public record Append(LeaseRecord content, long expectedEnd) {}

    private record Sent(LeaseRecord content, long atMillis) {}

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
     * @param self names this process; no other has the name
     * @param address where others reach this process, as its contacts say; a holder with the same
     *     address is this process's predecessor on its host, which has ended
     * @param contact where others reach this process, asked for when it writes a record
     * @param terms its times
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
     * Returns where another process can be reached that holds the lease, as far as is known.
     *
     * @return the contact; empty when nobody holds, this process does, or the holder named none
     */
    public Optional<Contact> otherHolder() {
        return released || holder.equals(self) ? Optional.empty() : holderContact;
    }

    /**
     * Returns where to read on.
     *
     * @return an offset
     */
    public long readFrom() {
        return end;
    }

    /**
     * Returns whether records have to be read before anything can be decided.
     *
     * @return true when the log may have records that were not read
     */
    public boolean mustRead() {
        return !caughtUp;
    }

    /**
     * A record was read.
     *
     * @param offset where it stands
     * @param content the record
     * @param nowMillis the monotonic time
     */
    public void read(long offset, LeaseRecord content, long nowMillis) {
        if (offset < end) {
            return;
        }
        take(offset, content, nowMillis);
        pending.filter(sent -> sent.content().equals(content))
                .ifPresent(sent -> granted(sent.atMillis()));
    }

    private void take(long offset, LeaseRecord content, long nowMillis) {
        if (content.claim() && !holder.equals(content.holder())) {
            actFromMillis = actFrom(content, nowMillis);
            renewals = 0;
        } else {
            renewals++;
        }
        end = offset + 1;
        holder = content.holder();
        term = content.claim() ? offset : content.term();
        released = content.release();
        holderContact = content.contact();
        holderSeenMillis = nowMillis;
        if (!holder.equals(self)) {
            trustedUntilMillis = Long.MIN_VALUE;
        }
    }

    private long actFrom(LeaseRecord claim, long nowMillis) {
        if (holder.equals(NOBODY)) {
            return nowMillis;
        }
        // A process that starts again where the holder was need not wait for it: it has ended, and
        // engines take both for one. Only the pause after the holder before that may still run, of
        // which each renewal since shows a part to be over. After a loss of power of all hosts,
        // orders came 6 s after the start without this.
        if (claim.holder().equals(self) && predecessorHeld()) {
            return Math.max(nowMillis, actFromMillis - renewals * terms.renew());
        }
        // What the holder before may still do is counted from when its last record was read.
        long lastAct = released ? holderSeenMillis : holderSeenMillis + terms.trust();
        return lastAct + terms.quiet();
    }

    private boolean predecessorHeld() {
        return !holder.equals(self)
                && address.isPresent()
                && address.equals(holderContact.map(Contact::address));
    }

    /**
     * A read found no further record.
     *
     * @param nowMillis the monotonic time
     */
    public void readAll(long nowMillis) {
        caughtUp = true;
        if (pending.isPresent() && nowMillis - pending.get().atMillis() > terms.trust()) {
            pending = Optional.empty();
        }
    }

    /**
     * Records were forgotten before they were read.
     *
     * @param first the first that is kept
     * @param nowMillis the monotonic time
     */
    public void skipped(long first, long nowMillis) {
        // Somebody may hold by a record that nobody can read any more.
        end = first;
        holder = "unknown";
        holderContact = Optional.empty();
        released = false;
        holderSeenMillis = nowMillis;
        trustedUntilMillis = Long.MIN_VALUE;
    }

    /**
     * The log came back from a copy: records may be gone, that of the holder among them.
     *
     * @param nowMillis the monotonic time
     */
    public void restored(long nowMillis) {
        distrust();
        // Somebody may hold by a record that is gone, and not know yet.
        skipped(0, nowMillis);
        notBeforeMillis = nowMillis + terms.trust() + terms.quiet();
    }

    /**
     * Returns the record to append now, if one is due.
     *
     * @param nowMillis the monotonic time
     * @return the record
     */
    public Optional<Append> tick(long nowMillis) {
        if (left || !caughtUp || pending.isPresent() || nowMillis < nextAppendMillis) {
            return Optional.empty();
        }
        boolean own = holder.equals(self) && !released;
        if (!own && !free(nowMillis)) {
            return Optional.empty();
        }
        LeaseRecord content =
                new LeaseRecord(self, own ? term : 0, !own, false, ++nonce, contact.get());
        return sent(content, nowMillis);
    }

    private Optional<Append> sent(LeaseRecord content, long nowMillis) {
        pending = Optional.of(new Sent(content, nowMillis));
        nextAppendMillis = nowMillis + terms.renew();
        return Optional.of(new Append(content, end));
    }

    private boolean free(long nowMillis) {
        if (holder.equals(NOBODY)) {
            return nowMillis >= terms.delay();
        }
        if (predecessorHeld()) {
            return true;
        }
        long lapsed = released ? 0 : terms.trust();
        return nowMillis >= holderSeenMillis + lapsed + terms.delay();
    }

    /**
     * The record of the last {@link #tick} was written.
     *
     * @param offset where
     * @param nowMillis the monotonic time
     */
    public void appended(long offset, long nowMillis) {
        pending.ifPresent(
                sent -> {
                    if (offset >= end) {
                        take(offset, sent.content(), nowMillis);
                    }
                    granted(sent.atMillis());
                });
    }

    private void granted(long sentAtMillis) {
        pending = Optional.empty();
        if (holder.equals(self) && !released && !left) {
            trustedUntilMillis = Math.max(trustedUntilMillis, sentAtMillis + terms.trust());
        }
    }

    /** The record was not written, since the log did not end where it was expected to. */
    public void conflict() {
        pending = Optional.empty();
        caughtUp = false;
    }

    /** The record was not written. */
    public void refused() {
        pending = Optional.empty();
    }

    /** No answer came: the record may have been written, or may still be. */
    public void unanswered() {
        caughtUp = false;
    }

    /** The process did not run for a while, so its sense of the time passed can't be trusted. */
    public void distrust() {
        trustedUntilMillis = Long.MIN_VALUE;
        pending = Optional.empty();
        caughtUp = false;
    }

    /**
     * Gives the lease up for good.
     *
     * @param nowMillis the monotonic time
     * @return the record to append, if the lease is held
     */
    public Optional<Append> leave(long nowMillis) {
        boolean holding = nowMillis < trustedUntilMillis;
        left = true;
        trustedUntilMillis = Long.MIN_VALUE;
        if (!holding) {
            return Optional.empty();
        }
        return sent(new LeaseRecord(self, term, false, true, ++nonce, contact.get()), nowMillis);
    }

    /**
     * Returns the term while this process may act.
     *
     * @param nowMillis the monotonic time
     * @return the fencing number; empty when it may not
     */
    public OptionalLong term(long nowMillis) {
        boolean mayAct =
                nowMillis < trustedUntilMillis
                        && nowMillis >= actFromMillis
                        && nowMillis >= notBeforeMillis;
        return mayAct ? OptionalLong.of(term) : OptionalLong.empty();
    }

    /**
     * Returns until when this process may act, if it sends nothing more.
     *
     * @return the monotonic time
     */
    public long trustedUntilMillis() {
        return trustedUntilMillis;
    }

    /**
     * Returns whether this process holds the lease, though it may not act yet.
     *
     * @param nowMillis the monotonic time
     * @return true when it does
     */
    public boolean holds(long nowMillis) {
        return nowMillis < trustedUntilMillis;
    }
}
