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
 * Manages the claims of one entry daemon: writes them to the log in batches, grants a claim only
 * when it was read back as the first for its key, and settles it with the outcome of its request.
 */
public final class ClaimManager {
    private static final int MAXIMUM_CLAIMS_PER_RECORD = 200;
    private static final int MAXIMUM_WAITING = 5_000;
    private static final long NONE = -1;

    private final IncarnationId owner;
    private final ClaimLimits limits;
    private final ClaimRegister register;
    private final Deque<PendingClaim> waiting = new ArrayDeque<>();
    private final Map<Long, PendingClaim> awaitingReadBack = new LinkedHashMap<>();
    private final Set<Long> abandoned = new HashSet<>();
    private final OutcomeQueue outcomes;
    private final List<ClaimAction> actions = new ArrayList<>();
    private List<PendingClaim> appending = List.of();
    private boolean appendInProgress;
    private final long startedAtMillis;
    private long lastAppendMillis = Long.MIN_VALUE / 2;
    private boolean appendFailed;
    private long nextClaim;
    private long windowMillis;
    private boolean caughtUp;
    private boolean reachable = true;

    private ClaimManager(
            IncarnationId owner, ClaimLimits limits, long windowMillis, long nowMillis) {
        this.owner = owner;
        this.startedAtMillis = nowMillis;
        this.limits = limits;
        this.windowMillis = windowMillis;
        this.register = ClaimRegister.empty(windowMillis);
        this.outcomes = OutcomeQueue.of(owner, limits.outcomeIntervalMillis());
    }

    /**
     * Returns a manager that has not read any record of the log.
     *
     * @param owner the identifier of this run of the daemon
     * @param limits the timeouts and intervals to use
     * @param windowMillis how long keys are remembered, in milliseconds
     * @param nowMillis the monotonic time in milliseconds
     * @return the manager
     */
    public static ClaimManager of(
            IncarnationId owner, ClaimLimits limits, long windowMillis, long nowMillis) {
        Objects.requireNonNull(owner, "owner is null");
        Objects.requireNonNull(limits, "limits is null");
        return new ClaimManager(owner, limits, windowMillis, nowMillis);
    }

    private static final class PendingClaim {
        private final ClaimRequest request;
        private final ClaimKey key;
        private final long receivedAtMillis;
        private long claim = NONE;

        private PendingClaim(ClaimRequest request, long receivedAtMillis) {
            this.request = request;
            this.key = ClaimKey.of(request.account(), request.keyHash());
            this.receivedAtMillis = receivedAtMillis;
        }

        private LogEntry.Claim toClaim() {
            return new LogEntry.Claim(
                    request.account(), request.keyHash(), request.requestHash(), claim);
        }
    }

    /**
     * Changes how long keys are remembered.
     *
     * @param newWindowMillis the new window in milliseconds
     */
    public void changeWindow(long newWindowMillis) {
        windowMillis = newWindowMillis;
        register.changeWindow(newWindowMillis);
    }

    /**
     * Claims the key of a request that is to run.
     *
     * @param request the request
     * @param nowMillis the monotonic time in milliseconds
     * @param calendarMillis the wall clock of this host, in milliseconds since 1970
     * @return the actions to take
     */
    public List<ClaimAction> claim(ClaimRequest request, long nowMillis, long calendarMillis) {
        Objects.requireNonNull(request, "request is null");
        PendingClaim pending = new PendingClaim(request, nowMillis);
        Optional<ErrorCode> refusal =
                KeyAge.check(request.createdAtMillis(), calendarMillis, windowMillis)
                        .or(() -> refusalOf(register.stateOf(pending.key, request.requestHash())))
                        .or(() -> refusalIfUnavailable(calendarMillis));
        if (refusal.isPresent()) {
            decline(pending, refusal.get());
        } else {
            waiting.add(pending);
            appendClaims(nowMillis);
        }
        return drainActions();
    }

    private Optional<ErrorCode> refusalIfUnavailable(long calendarMillis) {
        // A daemon that has just started, or fell behind the retention of the log, does not know
        // the claims that it has not read: it would treat a key that has already run as new.
        boolean available =
                reachable
                        && caughtUp
                        && register.isComplete(calendarMillis)
                        && waiting.size() < MAXIMUM_WAITING;
        return available ? Optional.empty() : Optional.of(ErrorCode.CLAIM_UNAVAILABLE);
    }

    private static Optional<ErrorCode> refusalOf(ClaimRegister.KeyState standing) {
        return switch (standing) {
            case FREE -> Optional.empty();
            case IN_USE -> Optional.of(ErrorCode.KEY_IN_USE);
            case RAN -> Optional.of(ErrorCode.KEY_ALREADY_RAN);
            case OTHER_REQUEST -> Optional.of(ErrorCode.KEY_REUSED);
        };
    }

    private void decline(PendingClaim pending, ErrorCode code) {
        long retryAfter = code.retryable() ? limits.retryAfterMillis() : NONE;
        actions.add(new ClaimAction.Declined(pending.request.ticket(), code, retryAfter));
    }

    private void appendClaims(long nowMillis) {
        if (appendInProgress || nowMillis - lastAppendMillis < limits.claimIntervalMillis()) {
            return;
        }
        if (appendFailed) {
            append(appending, nowMillis);
            return;
        }
        if (waiting.isEmpty()) {
            return;
        }
        List<PendingClaim> batch = new ArrayList<>();
        while (!waiting.isEmpty() && batch.size() < MAXIMUM_CLAIMS_PER_RECORD) {
            PendingClaim next = waiting.poll();
            next.claim = nextClaim++;
            awaitingReadBack.put(next.claim, next);
            batch.add(next);
        }
        append(batch, nowMillis);
    }

    private void append(List<PendingClaim> batch, long nowMillis) {
        appending = batch;
        appendInProgress = true;
        lastAppendMillis = nowMillis;
        List<LogEntry.Claim> claims =
                batch.stream().map(PendingClaim::toClaim).collect(Collectors.toList());
        actions.add(
                new ClaimAction.Append(
                        ClaimAction.AppendKind.CLAIMS, new LogEntry.ClaimsTaken(owner, claims)));
    }

    /**
     * Handles the end of an append.
     *
     * @param kind the kind of the appended record
     * @param outcome whether the record was written
     * @param nowMillis the monotonic time in milliseconds
     * @return the actions to take
     */
    public List<ClaimAction> appended(
            ClaimAction.AppendKind kind, AppendOutcome outcome, long nowMillis) {
        if (kind == ClaimAction.AppendKind.OUTCOMES) {
            outcomes.appended(outcome, nowMillis).ifPresent(actions::add);
            return drainActions();
        }
        appendInProgress = false;
        if (outcome == AppendOutcome.NOT_WRITTEN) {
            onNotWritten(nowMillis);
        } else {
            // When the response was lost, the record may or may not be in the log. It is not
            // written again: if it is in the log it will be read back, and claims that are not read
            // back in time are abandoned.
            appending = List.of();
            appendFailed = false;
        }
        appendClaims(nowMillis);
        return drainActions();
    }

    // The log occasionally refuses appends that exceed its rate limit, so a record that was
    // certainly not written is tried once more. If that fails too, the log is treated as
    // unavailable and all waiting requests are declined immediately.
    private void onNotWritten(long nowMillis) {
        if (!appendFailed) {
            appendFailed = true;
            return;
        }
        appendFailed = false;
        reachable = false;
        List<PendingClaim> failed = appending.stream().filter(this::isAwaitingReadBack).toList();
        failed.forEach(pending -> awaitingReadBack.remove(pending.claim));
        appending = List.of();
        declineAll(failed);
        declineAll(waiting);
        waiting.clear();
    }

    private boolean isAwaitingReadBack(PendingClaim pending) {
        return awaitingReadBack.containsKey(pending.claim);
    }

    private void declineAll(Collection<PendingClaim> claims) {
        claims.forEach(pending -> decline(pending, ErrorCode.CLAIM_UNAVAILABLE));
    }

    /** The outcome of an append. */
    public enum AppendOutcome {
        WRITTEN,
        NOT_WRITTEN,
        UNKNOWN
    }

    /**
     * Applies a record of the claims stream.
     *
     * @param record the record
     * @param nowMillis the monotonic time in milliseconds
     * @return the actions to take
     */
    public List<ClaimAction> handle(LogRecord record, long nowMillis) {
        register.handle(record);
        if (record.entry() instanceof LogEntry.ClaimsTaken taken && taken.owner().equals(owner)) {
            taken.claims().forEach(claim -> onReadBack(claim, nowMillis));
        }
        outcomes.nextAppend(nowMillis).ifPresent(actions::add);
        return drainActions();
    }

    private void onReadBack(LogEntry.Claim claim, long nowMillis) {
        ClaimKey key = ClaimKey.of(claim.account(), claim.keyHash());
        boolean holds = register.holds(key, owner, claim.claim());
        PendingClaim pending = awaitingReadBack.remove(claim.claim());
        if (pending == null) {
            // The caller was told that its request did not run. Settling the claim as not run frees
            // the key; an unsettled claim would block it for the whole window.
            if (abandoned.remove(claim.claim()) && holds) {
                outcomes.add(claim.claim(), Ran.NO);
            }
            return;
        }
        Optional<ErrorCode> refusal = refusalOnReadBack(pending, holds, nowMillis);
        if (refusal.isEmpty()) {
            actions.add(new ClaimAction.Granted(pending.request.ticket(), pending.claim));
            return;
        }
        decline(pending, refusal.get());
        if (holds) {
            outcomes.add(pending.claim, Ran.NO);
        }
    }

    private Optional<ErrorCode> refusalOnReadBack(
            PendingClaim pending, boolean holds, long nowMillis) {
        if (!holds) {
            return refusalOf(register.stateOf(pending.key, pending.request.requestHash()))
                    .or(() -> Optional.of(ErrorCode.CLAIM_UNAVAILABLE));
        }
        // A daemon that was paused may read its claim long after it was written, when it may have
        // expired and another daemon may hold the key. Its monotonic clock shows the delay, so it
        // declines the request.
        if (timedOut(pending, nowMillis) || !register.isComplete(register.logMillis())) {
            return Optional.of(ErrorCode.CLAIM_UNAVAILABLE);
        }
        return KeyAge.check(pending.request.createdAtMillis(), register.logMillis(), windowMillis);
    }

    private boolean timedOut(PendingClaim pending, long nowMillis) {
        return nowMillis - pending.receivedAtMillis >= limits.timeoutMillis();
    }

    /**
     * Records the outcome of a granted request.
     *
     * @param claim the number of its claim
     * @param ran whether the request ran
     * @param nowMillis the monotonic time in milliseconds
     * @return the actions to take
     */
    public List<ClaimAction> settle(long claim, Ran ran, long nowMillis) {
        outcomes.add(claim, ran);
        outcomes.nextAppend(nowMillis).ifPresent(actions::add);
        return drainActions();
    }

    /**
     * Handles the passing of time: declines claims that timed out and appends what is due.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the actions to take
     */
    public List<ClaimAction> tick(long nowMillis) {
        List<PendingClaim> timedOutInLog =
                awaitingReadBack.values().stream()
                        .filter(pending -> timedOut(pending, nowMillis))
                        .toList();
        timedOutInLog.forEach(
                pending -> {
                    awaitingReadBack.remove(pending.claim);
                    abandoned.add(pending.claim);
                });
        declineAll(timedOutInLog);
        List<PendingClaim> timedOutWaiting =
                waiting.stream().filter(pending -> timedOut(pending, nowMillis)).toList();
        waiting.removeAll(timedOutWaiting);
        declineAll(timedOutWaiting);
        appendClaims(nowMillis);
        outcomes.nextAppend(nowMillis).ifPresent(actions::add);
        appendHeartbeat(nowMillis);
        return drainActions();
    }

    // All records of a stream without traffic expire, and a daemon that starts afterwards cannot
    // tell whether it has read the whole window. A record appended from time to time keeps a
    // sufficiently old record in the log.
    private void appendHeartbeat(long nowMillis) {
        long periodMillis = Math.max(limits.timeoutMillis(), windowMillis / 8);
        if (caughtUp
                && reachable
                && !appendInProgress
                && nowMillis - Math.max(lastAppendMillis, startedAtMillis) >= periodMillis) {
            append(List.of(), nowMillis);
        }
    }

    /**
     * Records that entries expired from the log before they were read.
     *
     * @param firstOffset the offset of the first record that the log still contains
     */
    public void recordsExpired(long firstOffset) {
        register.startAt(firstOffset);
    }

    /** Records that every record of the stream has been read. */
    public void caughtUp() {
        caughtUp = true;
        reachable = true;
    }

    /**
     * Records whether the log can be read.
     *
     * @param isReachable whether the log can be read
     */
    public void reachable(boolean isReachable) {
        reachable = isReachable;
        if (!isReachable) {
            caughtUp = false;
        }
    }

    /**
     * Returns whether all outcomes have been written to the log.
     *
     * @return true when no outcome is waiting to be written
     */
    public boolean allSettled() {
        return outcomes.isEmpty();
    }

    /**
     * Returns the number of keys that are held.
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
