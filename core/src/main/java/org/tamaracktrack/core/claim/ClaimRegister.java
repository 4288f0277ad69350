package org.tamaracktrack.core.claim;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

/**
 * The claims in the window, as the log tells them. Every reader that has read the whole window
 * comes to the same verdict on each claim, since it depends only on the records and their order.
 */
public final class ClaimRegister {
    /** The window of a register that has not been told one: nothing expires. */
    public static final long UNKNOWN_WINDOW_MILLIS = Long.MAX_VALUE / 4;

    private static final long NEVER = Long.MIN_VALUE;

    private final Map<ClaimKey, Held> held = new LinkedHashMap<>();
    private final Map<IncarnationId, Owner> owners = new LinkedHashMap<>();
    private long windowMillis;
    private long logMillis = NEVER;
    private long knownFromMillis = NEVER;
    private boolean readFromStart = true;
    private boolean hole;

    private ClaimRegister(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Returns a register that has read nothing.
     *
     * @param windowMillis how long a claim is remembered after its record
     * @return the register
     */
    public static ClaimRegister empty(long windowMillis) {
        return new ClaimRegister(windowMillis);
    }

    private static final class Owner {
        private long highestClaim = -1;
        private long lastMillis;
        private final Map<Long, ClaimKey> open = new HashMap<>();
    }

    private static final class Held {
        private final IncarnationId owner;
        private final long claim;
        private final int requestHash;
        private long appendedAtMillis;
        private Optional<Ran> outcome = Optional.empty();

        private Held(IncarnationId owner, LogEntry.Claim claim, long appendedAtMillis) {
            this.owner = owner;
            this.claim = claim.claim();
            this.requestHash = claim.requestHash().hashCode();
            this.appendedAtMillis = appendedAtMillis;
        }
    }

    /** What a key stands at. */
    public enum Standing {
        /** No request with the key is known. */
        FREE,
        /** A request with the key is in progress, or its owner died, or its outcome is unknown. */
        IN_USE,
        /** A request with the key ran. */
        RAN,
        /** The key was used for another request. */
        OTHER_REQUEST
    }

    /**
     * Sets the window.
     *
     * @param newWindowMillis how long a claim is remembered after its record
     */
    public void window(long newWindowMillis) {
        // A shorter window must not free keys whose callers were promised the longer one, and a
        // longer one can't bring back what was forgotten: what is held now stays until the longer
        // of both has passed.
        windowMillis =
                windowMillis == UNKNOWN_WINDOW_MILLIS
                        ? newWindowMillis
                        : Math.max(windowMillis, newWindowMillis);
    }

    /**
     * Reading starts, or records were lost: what was before an offset is not known.
     *
     * @param firstOffset the first record that will be read
     */
    public void startsAt(long firstOffset) {
        readFromStart = firstOffset == 0;
        hole = !readFromStart;
        knownFromMillis = NEVER;
    }

    /**
     * Takes a record of the claims stream.
     *
     * @param record the record
     */
    public void handle(LogRecord record) {
        Objects.requireNonNull(record, "record is null");
        logMillis = Math.max(logMillis, record.appendedAtMillis());
        if (hole && knownFromMillis == NEVER) {
            knownFromMillis = logMillis;
        }
        expire();
        if (record.entry() instanceof LogEntry.ClaimsTaken taken) {
            taken.claims().forEach(claim -> take(taken.owner(), claim));
        } else if (record.entry() instanceof LogEntry.ClaimsSettled settled) {
            settled.settled().forEach(outcome -> settle(settled.owner(), outcome));
        }
    }

    private void expire() {
        Iterator<Held> oldest = held.values().iterator();
        while (oldest.hasNext()) {
            Held next = oldest.next();
            if (next.appendedAtMillis + windowMillis >= logMillis) {
                break;
            }
            oldest.remove();
            Optional.ofNullable(owners.get(next.owner))
                    .ifPresent(owner -> owner.open.remove(next.claim));
        }
        owners.values().removeIf(owner -> owner.lastMillis + windowMillis < logMillis);
    }

    // An append that was given up may take effect late, after its claim was settled as not run.
    // Held again, the key would be blocked for the whole window though its caller was told that it
    // is free. Numbers only grow within an owner, so one not above the highest seen is a repeat.
    private void take(IncarnationId owner, LogEntry.Claim claim) {
        Owner known = owners.computeIfAbsent(owner, key -> new Owner());
        known.lastMillis = logMillis;
        if (claim.claim() <= known.highestClaim) {
            return;
        }
        known.highestClaim = claim.claim();
        ClaimKey key = ClaimKey.of(claim.account(), claim.keyHash());
        if (held.containsKey(key)) {
            prolong(key);
        } else {
            held.put(key, new Held(owner, claim, logMillis));
            known.open.put(claim.claim(), key);
        }
    }

    // While a new window comes into force, a daemon with the shorter one may already have
    // forgotten the holder and grant the later claim; held from that claim on, the key can't be
    // granted a third time by a daemon that saw it lose.
    private void prolong(ClaimKey key) {
        Held holder = held.remove(key);
        holder.appendedAtMillis = logMillis;
        held.put(key, holder);
    }

    private void settle(IncarnationId owner, LogEntry.ClaimOutcome outcome) {
        Owner known = owners.get(owner);
        ClaimKey key = known == null ? null : known.open.remove(outcome.claim());
        if (key == null) {
            return;
        }
        if (outcome.ran() == Ran.NO) {
            held.remove(key);
        } else {
            held.get(key).outcome = Optional.of(outcome.ran());
        }
    }

    /**
     * Returns whether the whole window before a time has been read.
     *
     * @param nowMillis the time by the log's clock
     * @return true when no claim in the window can be unknown here
     */
    public boolean complete(long nowMillis) {
        if (readFromStart) {
            return true;
        }
        return knownFromMillis != NEVER && knownFromMillis + windowMillis < nowMillis;
    }

    /**
     * Returns what a key stands at.
     *
     * @param key the key
     * @param requestHash the hash of the request that comes with it
     * @return its standing
     */
    public Standing standing(ClaimKey key, String requestHash) {
        Held holder = held.get(key);
        if (holder == null) {
            return Standing.FREE;
        }
        if (holder.requestHash != requestHash.hashCode()) {
            return Standing.OTHER_REQUEST;
        }
        return holder.outcome.equals(Optional.of(Ran.YES)) ? Standing.RAN : Standing.IN_USE;
    }

    /**
     * Returns whether a claim holds its key.
     *
     * @param key the key
     * @param owner the claim's owner
     * @param claim the claim's number within its owner
     * @return true when it does
     */
    public boolean holds(ClaimKey key, IncarnationId owner, long claim) {
        return Optional.ofNullable(held.get(key))
                .filter(holder -> holder.claim == claim && holder.owner.equals(owner))
                .isPresent();
    }

    /**
     * Returns the time of the log's clock at the last record read.
     *
     * @return milliseconds since 1970, or the least long when nothing has been read
     */
    public long logMillis() {
        return logMillis;
    }

    /**
     * Returns how many keys are held.
     *
     * @return the count
     */
    public int size() {
        return held.size();
    }
}
