package org.tamaracktrack.core.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

/**
 * The claims of one entry daemon: written as a group, granted only when read back as the first for
 * their key, settled with their outcome.
 */
public final class ClaimKeeper {
    private static final int MOST_IN_A_RECORD = 200;
    private static final int MOST_WAITING = 5_000;
    private static final long NOTHING = -1;

    private final IncarnationId owner;
    private final ClaimLimits limits;
    private final ClaimRegister register;
    private final Deque<Pending> waiting = new ArrayDeque<>();
    private final Map<Long, Pending> inLog = new LinkedHashMap<>();
    private final Set<Long> abandoned = new HashSet<>();
    private final OutcomeQueue outcomes;
    private final List<ClaimAction> actions = new ArrayList<>();
    private List<Pending> appending = List.of();
    private boolean appendUnderWay;
    private final long startedAtMillis;
    private long lastAppendMillis = Long.MIN_VALUE / 2;
    private boolean appendFailed;
    private long nextClaim;
    private long windowMillis;
    private boolean caughtUp;
    private boolean reachable = true;

    private ClaimKeeper(
            IncarnationId owner, ClaimLimits limits, long windowMillis, long nowMillis) {
        this.owner = owner;
        this.startedAtMillis = nowMillis;
        this.limits = limits;
        this.windowMillis = windowMillis;
        this.register = ClaimRegister.empty(windowMillis);
        this.outcomes = OutcomeQueue.of(owner, limits.outcomeGapMillis());
    }

    /**
     * Returns a keeper that has read nothing of the log yet.
     *
     * @param owner this run of the daemon
     * @param limits the times to go by
     * @param windowMillis how long keys are remembered
     * @param nowMillis the time
     * @return the keeper
     */
    public static ClaimKeeper of(
            IncarnationId owner, ClaimLimits limits, long windowMillis, long nowMillis) {
        Objects.requireNonNull(owner, "owner is null");
        Objects.requireNonNull(limits, "limits is null");
        return new ClaimKeeper(owner, limits, windowMillis, nowMillis);
    }

    private static final class Pending {
        private final ClaimRequest request;
        private final ClaimKey key;
        private final long askedAtMillis;
        private long claim = NOTHING;

        private Pending(ClaimRequest request, long askedAtMillis) {
            this.request = request;
            this.key = ClaimKey.of(request.account(), request.keyHash());
            this.askedAtMillis = askedAtMillis;
        }

        private LogEntry.Claim toClaim() {
            return new LogEntry.Claim(
                    request.account(), request.keyHash(), request.requestHash(), claim);
        }
    }

    /**
     * Sets how long keys are remembered.
     *
     * @param newWindowMillis the window
     */
    public void window(long newWindowMillis) {
        windowMillis = newWindowMillis;
        register.window(newWindowMillis);
    }

    /**
     * A keyed request wants to run.
     *
     * @param request the request
     * @param nowMillis the time
     * @param calendarMillis the time of this host's calendar clock, since 1970
     * @return what to do
     */
    public List<ClaimAction> claim(ClaimRequest request, long nowMillis, long calendarMillis) {
        Objects.requireNonNull(request, "request is null");
        Pending pending = new Pending(request, nowMillis);
        Optional<ErrorCode> refusal =
                KeyAge.check(request.createdAtMillis(), calendarMillis, windowMillis)
                        .or(() -> refusalOf(register.standing(pending.key, request.requestHash())))
                        .or(() -> unavailable(calendarMillis));
        if (refusal.isPresent()) {
            decline(pending, refusal.get());
        } else {
            waiting.add(pending);
            appendClaims(nowMillis);
        }
        return drainActions();
    }

    private Optional<ErrorCode> unavailable(long calendarMillis) {
        // A daemon that has just started, or fell behind retention, does not know the claims it
        // has not read: it would take a key that ran yesterday for a new one.
        boolean able =
                reachable
                        && caughtUp
                        && register.complete(calendarMillis)
                        && waiting.size() < MOST_WAITING;
        return able ? Optional.empty() : Optional.of(ErrorCode.CLAIM_UNAVAILABLE);
    }

    private static Optional<ErrorCode> refusalOf(ClaimRegister.Standing standing) {
        return switch (standing) {
            case FREE -> Optional.empty();
            case IN_USE -> Optional.of(ErrorCode.KEY_IN_USE);
            case RAN -> Optional.of(ErrorCode.KEY_ALREADY_RAN);
            case OTHER_REQUEST -> Optional.of(ErrorCode.KEY_REUSED);
        };
    }

    private void decline(Pending pending, ErrorCode code) {
        long retryAfter = code.retryable() ? limits.retryAfterMillis() : NOTHING;
        actions.add(new ClaimAction.Declined(pending.request.ticket(), code, retryAfter));
    }

    private void appendClaims(long nowMillis) {
        if (appendUnderWay || nowMillis - lastAppendMillis < limits.claimGapMillis()) {
            return;
        }
        if (appendFailed) {
            append(appending, nowMillis);
            return;
        }
        if (waiting.isEmpty()) {
            return;
        }
        List<Pending> batch = new ArrayList<>();
        while (!waiting.isEmpty() && batch.size() < MOST_IN_A_RECORD) {
            Pending next = waiting.poll();
            next.claim = nextClaim++;
            inLog.put(next.claim, next);
            batch.add(next);
        }
        append(batch, nowMillis);
    }

    private void append(List<Pending> batch, long nowMillis) {
        appending = batch;
        appendUnderWay = true;
        lastAppendMillis = nowMillis;
        List<LogEntry.Claim> claims =
                batch.stream().map(Pending::toClaim).collect(Collectors.toList());
        actions.add(
                new ClaimAction.Append(
                        ClaimAction.Slot.CLAIMS, new LogEntry.ClaimsTaken(owner, claims)));
    }

    /**
     * An append ended.
     *
     * @param slot which one
     * @param outcome whether the record was written
     * @param nowMillis the time
     * @return what to do
     */
    public List<ClaimAction> appended(
            ClaimAction.Slot slot, AppendOutcome outcome, long nowMillis) {
        if (slot == ClaimAction.Slot.OUTCOMES) {
            outcomes.appended(outcome, nowMillis).ifPresent(actions::add);
            return drainActions();
        }
        appendUnderWay = false;
        if (outcome == AppendOutcome.NOT_WRITTEN) {
            notWritten(nowMillis);
        } else {
            // After a lost answer the record may be in the log or not. It is not written again:
            // the follower reads what there is, and what is not read in time is given up.
            appending = List.of();
            appendFailed = false;
        }
        appendClaims(nowMillis);
        return drainActions();
    }

    // The log refuses appends over its rate now and then, so a record that certainly was not
    // written is tried once more; after that the log counts as out, and callers hear so at once.
    private void notWritten(long nowMillis) {
        if (!appendFailed) {
            appendFailed = true;
            return;
        }
        appendFailed = false;
        reachable = false;
        List<Pending> given = appending.stream().filter(this::isOpen).toList();
        given.forEach(pending -> inLog.remove(pending.claim));
        appending = List.of();
        declineAll(given);
        declineAll(waiting);
        waiting.clear();
    }

    private boolean isOpen(Pending pending) {
        return inLog.containsKey(pending.claim);
    }

    private void declineAll(Collection<Pending> pendings) {
        pendings.forEach(pending -> decline(pending, ErrorCode.CLAIM_UNAVAILABLE));
    }

    /** How an append went. */
    public enum AppendOutcome {
        WRITTEN,
        NOT_WRITTEN,
        UNKNOWN
    }

    /**
     * Takes a record of the claims stream.
     *
     * @param record the record
     * @param nowMillis the time
     * @return what to do
     */
    public List<ClaimAction> handle(LogRecord record, long nowMillis) {
        register.handle(record);
        if (record.entry() instanceof LogEntry.ClaimsTaken taken && taken.owner().equals(owner)) {
            taken.claims().forEach(claim -> readBack(claim, nowMillis));
        }
        outcomes.next(nowMillis).ifPresent(actions::add);
        return drainActions();
    }

    private void readBack(LogEntry.Claim claim, long nowMillis) {
        ClaimKey key = ClaimKey.of(claim.account(), claim.keyHash());
        boolean holds = register.holds(key, owner, claim.claim());
        Pending pending = inLog.remove(claim.claim());
        if (pending == null) {
            // The caller has been told that its request did not run; freed, the key may be used
            // again, where a claim that nobody will settle would block it for the whole window.
            if (abandoned.remove(claim.claim()) && holds) {
                outcomes.add(claim.claim(), Ran.NO);
            }
            return;
        }
        Optional<ErrorCode> refusal = verdict(pending, holds, nowMillis);
        if (refusal.isEmpty()) {
            actions.add(new ClaimAction.Granted(pending.request.ticket(), pending.claim));
            return;
        }
        decline(pending, refusal.get());
        if (holds) {
            outcomes.add(pending.claim, Ran.NO);
        }
    }

    private Optional<ErrorCode> verdict(Pending pending, boolean holds, long nowMillis) {
        if (!holds) {
            return refusalOf(register.standing(pending.key, pending.request.requestHash()))
                    .or(() -> Optional.of(ErrorCode.CLAIM_UNAVAILABLE));
        }
        // A daemon that was paused reads its claim long after it was written, perhaps after it
        // expired and another took the key; by its own monotonic clock it knows, and gives up.
        if (timedOut(pending, nowMillis) || !register.complete(register.logMillis())) {
            return Optional.of(ErrorCode.CLAIM_UNAVAILABLE);
        }
        return KeyAge.check(pending.request.createdAtMillis(), register.logMillis(), windowMillis);
    }

    private boolean timedOut(Pending pending, long nowMillis) {
        return nowMillis - pending.askedAtMillis >= limits.timeoutMillis();
    }

    /**
     * A granted request ended.
     *
     * @param claim the number of its claim
     * @param ran whether it ran
     * @param nowMillis the time
     * @return what to do
     */
    public List<ClaimAction> settle(long claim, Ran ran, long nowMillis) {
        outcomes.add(claim, ran);
        outcomes.next(nowMillis).ifPresent(actions::add);
        return drainActions();
    }

    /**
     * Time passed.
     *
     * @param nowMillis the time
     * @return what to do
     */
    public List<ClaimAction> tick(long nowMillis) {
        List<Pending> late =
                inLog.values().stream().filter(pending -> timedOut(pending, nowMillis)).toList();
        late.forEach(
                pending -> {
                    inLog.remove(pending.claim);
                    abandoned.add(pending.claim);
                });
        declineAll(late);
        List<Pending> queued =
                waiting.stream().filter(pending -> timedOut(pending, nowMillis)).toList();
        waiting.removeAll(queued);
        declineAll(queued);
        appendClaims(nowMillis);
        outcomes.next(nowMillis).ifPresent(actions::add);
        heartbeat(nowMillis);
        return drainActions();
    }

    // A quiet stream expires as a whole, and a daemon that starts then can't tell whether it has
    // seen all of the window; a record now and then keeps one in the log that is old enough.
    private void heartbeat(long nowMillis) {
        long periodMillis = Math.max(limits.timeoutMillis(), windowMillis / 8);
        if (caughtUp
                && reachable
                && !appendUnderWay
                && nowMillis - Math.max(lastAppendMillis, startedAtMillis) >= periodMillis) {
            append(List.of(), nowMillis);
        }
    }

    /**
     * Records expired before they were read.
     *
     * @param firstOffset the first record that there still is
     */
    public void gap(long firstOffset) {
        register.startsAt(firstOffset);
    }

    /** Every record of the stream has been read. */
    public void caughtUp() {
        caughtUp = true;
        reachable = true;
    }

    /**
     * The log can or can't be read.
     *
     * @param isReachable whether it can
     */
    public void reachable(boolean isReachable) {
        reachable = isReachable;
        if (!isReachable) {
            caughtUp = false;
        }
    }

    /**
     * Returns whether every outcome is in the log.
     *
     * @return true when none waits
     */
    public boolean settled() {
        return outcomes.isEmpty();
    }

    /**
     * Returns how many keys are held.
     *
     * @return the count
     */
    public int size() {
        return register.size();
    }

    private List<ClaimAction> drainActions() {
        List<ClaimAction> result = List.copyOf(actions);
        actions.clear();
        return result;
    }
}
