package org.tamaracktrack.core.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.dispatch.LruMap;
import org.tamaracktrack.core.id.ClientAccountId;

/**
 * The quotas at one coordinator: the votes of the daemons that follow it, and a bucket for each
 * client account. Confined to the traffic thread.
 *
 * <p>The authority is the sum of the valid votes. A daemon votes for one coordinator at a time, so
 * the authorities of all coordinators add up to at most 1, however the network is partitioned.
 */
public final class QuotaLedger {
    /**
     * How long a vote is valid after it arrives. A daemon waits as long before it votes for another
     * coordinator.
     */
    static final long VOTE_VALIDITY_MILLIS = 500;

    /** A coordinator refuses requests as over the quota from this long after its start. */
    private static final long START_MILLIS = 1_500;

    private static final long NEVER = Long.MAX_VALUE / 2;

    private static final int MAX_ACCOUNTS = 20_000;

    /** A question is repeated for less than a second, and what it admitted is returned later. */
    private static final int MAX_ANSWERS = 8_192;

    /** Differences below this are rounding errors of sums of votes. */
    private static final double ROUNDING = 1e-9;

    private final Map<String, Vote> votes = new HashMap<>();
    private final Map<ClientAccountId, QuotaBucket> buckets = LruMap.of(MAX_ACCOUNTS);
    private final Map<Question, Settled> answers = LruMap.of(MAX_ANSWERS);

    private final double tolerance;
    private double authority;
    private double earnedMillis;
    private long majoritySinceMillis = NEVER;
    private long earnedUntilMillis;
    private boolean spreadsReturns;

    private record Vote(double share, long atMillis) {}

    private record Question(String sender, long number) {}

    private record Settled(QuotaMessage.Answer answer, ClientAccountId account, long cost) {}

    private QuotaLedger(double tolerance) {
        this.tolerance = tolerance;
    }

    /**
     * Returns a ledger without votes.
     *
     * @param tolerance units of each quota that may be used in addition to its burst, so that
     *     requests that arrive a little early are not refused
     * @return the ledger
     */
    public static QuotaLedger empty(double tolerance) {
        if (!(tolerance >= 0)) {
            throw new IllegalArgumentException("tolerance is negative");
        }
        return new QuotaLedger(tolerance);
    }

    /**
     * Sets whether callers that are refused together are told different times to return.
     *
     * @param spreads whether they are; initially false
     */
    public void spreadReturns(boolean spreads) {
        spreadsReturns = spreads;
    }

    /**
     * Records a vote, which replaces the previous one of the same daemon. A vote that has waited
     * here for longer than votes are valid is ignored: its daemon may follow another coordinator.
     *
     * @param voter the address of the daemon
     * @param share the share of all quotas that it entrusts to this coordinator; 0 if it does not
     *     renew its vote, which then stays valid until it expires
     * @param sentMillis the earliest time at which it may have been sent, by the monotonic clock,
     *     in milliseconds
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordVote(String voter, double share, long sentMillis, long nowMillis) {
        Objects.requireNonNull(voter, "voter is null");
        advance(nowMillis);
        if (share > 0 && nowMillis - sentMillis <= VOTE_VALIDITY_MILLIS) {
            votes.put(voter, new Vote(share, nowMillis));
            setAuthority(sumOfVotes(), nowMillis);
        }
    }

    /**
     * Removes the votes that have expired. Called at short intervals, since a vote counts until the
     * call after its expiry.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void advance(long nowMillis) {
        earnedMillis += authority * Math.max(0, nowMillis - earnedUntilMillis);
        earnedUntilMillis = Math.max(earnedUntilMillis, nowMillis);
        if (votes.values().removeIf(vote -> nowMillis - vote.atMillis() > VOTE_VALIDITY_MILLIS)) {
            double remaining = sumOfVotes();
            // What was earned since the last call must not rest on a vote that expired in between.
            buckets.values().forEach(bucket -> bucket.setAuthority(remaining));
            setAuthority(remaining, nowMillis);
        }
    }

    private double sumOfVotes() {
        return Math.min(1, votes.values().stream().mapToDouble(Vote::share).sum());
    }

    // A bucket that is not in use is not brought up to date, so a changed authority would apply to
    // the time before the change as well.
    private void setAuthority(double newAuthority, long nowMillis) {
        if (Math.abs(newAuthority - authority) > ROUNDING) {
            if (newAuthority < authority) {
                earnedMillis = 0;
            }
            if (newAuthority <= QuotaBucket.MAJORITY) {
                majoritySinceMillis = NEVER;
            } else if (majoritySinceMillis == NEVER) {
                majoritySinceMillis = nowMillis;
            }
            buckets.values().forEach(bucket -> bucket.advance(nowMillis));
            buckets.values().forEach(bucket -> bucket.setAuthority(newAuthority));
            authority = newAuthority;
        }
    }

    /**
     * Returns the share of each quota that this coordinator may admit.
     *
     * @return the authority, from 0 to 1
     */
    public double authority() {
        return authority;
    }

    /**
     * Answers a question. The same question gets the same answer again.
     *
     * @param sender the address of the daemon that asks
     * @param ask the question
     * @param nowMillis the monotonic time in milliseconds
     * @return the answer
     */
    public QuotaMessage.Answer answer(String sender, QuotaMessage.Ask ask, long nowMillis) {
        advance(nowMillis);
        Question question = new Question(sender, ask.number());
        return Optional.ofNullable(answers.get(question))
                .map(Settled::answer)
                .orElseGet(() -> decide(question, ask, nowMillis));
    }

    private QuotaMessage.Answer decide(Question question, QuotaMessage.Ask ask, long nowMillis) {
        QuotaBucket bucket = bucket(ask.limit(), nowMillis);
        boolean admitted = bucket.tryTake(ask.cost());
        QuotaMessage.Answer answer =
                admitted
                        ? new QuotaMessage.Answer(ask.number(), Admission.Outcome.ADMITTED, 0)
                        : refusal(bucket, ask, nowMillis);
        if (answer.outcome() != Admission.Outcome.UNDECIDED) {
            answers.put(question, new Settled(answer, ask.limit().account(), ask.cost()));
        }
        return answer;
    }

    private QuotaMessage.Answer refusal(QuotaBucket bucket, QuotaMessage.Ask ask, long nowMillis) {
        Admission.Outcome outcome = refusal(nowMillis);
        long retryAfterMillis =
                spreadsReturns && outcome == Admission.Outcome.OVER_LIMIT
                        ? bucket.millisUntilReturn(ask.cost())
                        : bucket.millisUntilRoom(ask.cost());
        return new QuotaMessage.Answer(ask.number(), outcome, retryAfterMillis);
    }

    // With little authority the room is a fraction of the quota, and a new coordinator starts
    // without room, so the account may be within its quota.
    private Admission.Outcome refusal(long nowMillis) {
        return nowMillis - majoritySinceMillis >= START_MILLIS
                ? Admission.Outcome.OVER_LIMIT
                : Admission.Outcome.UNDECIDED;
    }

    private QuotaBucket bucket(QuotaLimit limit, long nowMillis) {
        QuotaBucket bucket =
                buckets.computeIfAbsent(
                        limit.account(),
                        account ->
                                QuotaBucket.of(
                                        limit, tolerance, authority, earnedMillis, nowMillis));
        bucket.advance(nowMillis);
        bucket.apply(limit);
        return bucket;
    }

    /**
     * Returns the units of an admitted request that certainly did not run.
     *
     * @param sender the address of the daemon that had asked
     * @param giveBack names the question by which the request was admitted
     */
    public void giveBack(String sender, QuotaMessage.GiveBack giveBack) {
        Settled settled = answers.remove(new Question(sender, giveBack.number()));
        if (settled != null && settled.answer().outcome() == Admission.Outcome.ADMITTED) {
            Optional.ofNullable(buckets.get(settled.account()))
                    .ifPresent(bucket -> bucket.giveBack(settled.cost()));
        }
    }

    /**
     * Discards all votes and all room, after a freeze of the process: in the meantime the voters
     * may have followed another coordinator.
     */
    public void restartAfterFreeze() {
        votes.clear();
        authority = 0;
        majoritySinceMillis = NEVER;
        earnedMillis = 0;
        buckets.clear();
        answers.clear();
    }
}
