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
 * The claims in the window, derived from the records of the log. All readers that have read the
 * whole window decide each claim in the same way, since the result depends only on the records and
 * their order.
 */
public final class ClaimRegister {
    /** The window of a register whose window is not known yet: no claim expires. */
    public static final long UNKNOWN_WINDOW_MILLIS = Long.MAX_VALUE / 4;

    private static final long NO_TIME = Long.MIN_VALUE;

    private final Map<ClaimKey, HeldClaim> claimsByKey = new LinkedHashMap<>();
    private final Map<IncarnationId, OwnerClaims> owners = new LinkedHashMap<>();
    private long windowMillis;
    private long logMillis = NO_TIME;
    private long completeFromMillis = NO_TIME;
    private boolean readFromStart = true;
    private boolean historyIncomplete;

    private ClaimRegister(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Returns a register that has not read any record.
     *
     * @param windowMillis how long a claim is remembered after its record, in milliseconds
     * @return the register
     */
    public static ClaimRegister empty(long windowMillis) {
        return new ClaimRegister(windowMillis);
    }

    private static final class OwnerClaims {
        private long highestClaim = -1;
        private long lastMillis;
        private final Map<Long, ClaimKey> open = new HashMap<>();
    }

    private static final class HeldClaim {
        private final IncarnationId owner;
        private final long claim;
        private final int requestHash;
        private long appendedAtMillis;
        private Optional<Ran> outcome = Optional.empty();

        private HeldClaim(IncarnationId owner, LogEntry.Claim claim, long appendedAtMillis) {
            this.owner = owner;
            this.claim = claim.claim();
            this.requestHash = claim.requestHash().hashCode();
            this.appendedAtMillis = appendedAtMillis;
        }
    }

    /** The state of a key. */
    public enum KeyState {
        /** No request with the key is known. */
        FREE,
        /** A request with the key is in progress, its owner ended, or its outcome is unknown. */
        IN_USE,
        /** A request with the key ran. */
        RAN,
        /** The key was used for another request. */
        OTHER_REQUEST
    }

    /**
     * Changes the window.
     *
     * @param newWindowMillis how long a claim is remembered after its record, in milliseconds
     */
    public void changeWindow(long newWindowMillis) {
        // A shorter window must not free keys whose callers were promised the longer one, and a
        // longer window cannot restore claims that were already dropped. The claims held now are
        // therefore kept until the longer of both windows has passed.
        windowMillis =
                windowMillis == UNKNOWN_WINDOW_MILLIS
                        ? newWindowMillis
                        : Math.max(windowMillis, newWindowMillis);
    }

    /**
     * Records that reading starts at an offset, or that records were lost: the records before the
     * offset are unknown.
     *
     * @param firstOffset the offset of the first record that will be read
     */
    public void startAt(long firstOffset) {
        readFromStart = firstOffset == 0;
        historyIncomplete = !readFromStart;
        completeFromMillis = NO_TIME;
    }

    /**
     * Applies a record of the claims stream.
     *
     * @param record the record
     */
    public void handle(LogRecord record) {
        Objects.requireNonNull(record, "record is null");
        logMillis = Math.max(logMillis, record.appendedAtMillis());
        if (historyIncomplete && completeFromMillis == NO_TIME) {
            completeFromMillis = logMillis;
        }
        expire();
        if (record.entry() instanceof LogEntry.ClaimsTaken taken) {
            taken.claims().forEach(claim -> applyClaim(taken.owner(), claim));
        } else if (record.entry() instanceof LogEntry.ClaimsSettled settled) {
            settled.settled().forEach(outcome -> applyOutcome(settled.owner(), outcome));
        }
    }

    private void expire() {
        Iterator<HeldClaim> claims = claimsByKey.values().iterator();
        while (claims.hasNext()) {
            HeldClaim claim = claims.next();
            if (claim.appendedAtMillis + windowMillis >= logMillis) {
                break;
            }
            claims.remove();
            Optional.ofNullable(owners.get(claim.owner))
                    .ifPresent(owner -> owner.open.remove(claim.claim));
        }
        owners.values().removeIf(owner -> owner.lastMillis + windowMillis < logMillis);
    }

    // An abandoned append may take effect late, after its claim was settled as not run. Holding the
    // key again would block it for the whole window although its caller was told that it is free.
    // The claim numbers of an owner only increase, so a number that is not above the highest seen
    // is a repeat.
    private void applyClaim(IncarnationId owner, LogEntry.Claim claim) {
        OwnerClaims ownerClaims = owners.computeIfAbsent(owner, key -> new OwnerClaims());
        ownerClaims.lastMillis = logMillis;
        if (claim.claim() <= ownerClaims.highestClaim) {
            return;
        }
        ownerClaims.highestClaim = claim.claim();
        ClaimKey key = ClaimKey.of(claim.account(), claim.keyHash());
        if (claimsByKey.containsKey(key)) {
            extend(key);
        } else {
            claimsByKey.put(key, new HeldClaim(owner, claim, logMillis));
            ownerClaims.open.put(claim.claim(), key);
        }
    }

    // While a new window comes into force, a daemon with the shorter window may already have
    // dropped the holder and grant the later claim. The key is held from that later claim on, so
    // that a daemon that saw the later claim fail cannot grant it a third time.
    private void extend(ClaimKey key) {
        HeldClaim holder = claimsByKey.remove(key);
        holder.appendedAtMillis = logMillis;
        claimsByKey.put(key, holder);
    }

    private void applyOutcome(IncarnationId owner, LogEntry.ClaimOutcome outcome) {
        OwnerClaims ownerClaims = owners.get(owner);
        ClaimKey key = ownerClaims == null ? null : ownerClaims.open.remove(outcome.claim());
        if (key == null) {
            return;
        }
        if (outcome.ran() == Ran.NO) {
            claimsByKey.remove(key);
        } else {
            claimsByKey.get(key).outcome = Optional.of(outcome.ran());
        }
    }

    /**
     * Returns whether the whole window before a time has been read.
     *
     * @param nowMillis the time by the clock of the log
     * @return true when every claim in the window is known
     */
    public boolean isComplete(long nowMillis) {
        if (readFromStart) {
            return true;
        }
        return completeFromMillis != NO_TIME && completeFromMillis + windowMillis < nowMillis;
    }

    /**
     * Returns the state of a key for a request.
     *
     * @param key the key
     * @param requestHash the hash of the request that carries the key
     * @return the state of the key
     */
    public KeyState stateOf(ClaimKey key, String requestHash) {
        HeldClaim holder = claimsByKey.get(key);
        if (holder == null) {
            return KeyState.FREE;
        }
        if (holder.requestHash != requestHash.hashCode()) {
            return KeyState.OTHER_REQUEST;
        }
        return holder.outcome.equals(Optional.of(Ran.YES)) ? KeyState.RAN : KeyState.IN_USE;
    }

    /**
     * Returns whether a claim holds its key.
     *
     * @param key the key
     * @param owner the owner of the claim
     * @param claim the number of the claim within its owner
     * @return true when the claim holds the key
     */
    public boolean holds(ClaimKey key, IncarnationId owner, long claim) {
        return Optional.ofNullable(claimsByKey.get(key))
                .filter(holder -> holder.claim == claim && holder.owner.equals(owner))
                .isPresent();
    }

    /**
     * Returns the time of the last record read, by the clock of the log.
     *
     * @return milliseconds since 1970, or {@link Long#MIN_VALUE} when nothing has been read
     */
    public long logMillis() {
        return logMillis;
    }

    /**
     * Returns the number of keys that are held.
     *
     * @return the count
     */
    public int size() {
        return claimsByKey.size();
    }
}
