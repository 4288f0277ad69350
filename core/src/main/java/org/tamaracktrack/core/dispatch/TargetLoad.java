package org.tamaracktrack.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.tamaracktrack.core.fleet.TargetIncarnation;

/**
 * The load of one incarnation of a target as known to one daemon: its own requests there, the last
 * load report, the outcomes of its answers, and the prompt parts that it has probably cached.
 * Confined to the traffic thread.
 */
public final class TargetLoad {
    /** Prompt parts recorded for each target; the cache of a target holds about as many. */
    private static final int MAX_CACHED_PARTS = 512;

    /** Half-life of the average time to the first piece. */
    private static final double FIRST_PIECE_HALF_LIFE_MILLIS = 800;

    /** Weight of the newest time to the first piece. */
    private static final double NEWEST_FIRST_PIECE_WEIGHT = 0.4;

    /** Assumed duration of an answer before one was observed. */
    private static final double INITIAL_ANSWER_MILLIS = 2_000;

    /** Assumed duration of an answer of a plain service before one was observed. */
    private static final double INITIAL_WORK_MILLIS = 42;

    /** Weight of the newest answer duration, so that about the last 10 determine the average. */
    private static final double NEWEST_ANSWER_WEIGHT = 0.1;

    /** Time for which the load share reported by peers is considered valid. */
    private static final long PEER_SHARE_VALIDITY_MILLIS = 1_000;

    /** Time for which a target receives no requests after a connection could not be opened. */
    private static final long UNREACHABLE_MILLIS = 1_000;

    /** Time for which a silent target is avoided unless it sends something. */
    private static final long SILENCE_MILLIS = 2_000;

    /**
     * Time after a request within which a target that runs usually sends something on any of its
     * connections.
     */
    private static final long OWED_ANSWER_MILLIS = 500;

    /** Time since its last contact for which a target is considered running. */
    private static final long RECENT_CONTACT_MILLIS = 1_000;

    /** Requests that a target without recent contact may have before it gets a retry. */
    private static final int MAXIMUM_WITHOUT_CONTACT = 2;

    /** Time for which an ended target receives no requests; the registry drops it well before. */
    private static final long ENDED_MILLIS = 10_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    /** Time after which a report says little about the queue of its target. */
    private static final long OUTDATED_REPORT_MILLIS = 500;

    private final FailureScore failures = new FailureScore();
    private final PromptRateEstimator promptRate = PromptRateEstimator.create();
    private final StreamStallEstimator streamStalls = StreamStallEstimator.create();
    private final Map<String, Integer> cachedParts = LruMap.of(MAX_CACHED_PARTS);
    private final WorkFactorEstimator workFactor = WorkFactorEstimator.create();
    private ReportedLoad reported = ReportedLoad.empty();
    private long reportedAtMillis = NEVER;
    private boolean hasNewReport;
    private final Deque<Long> unansweredSentMillis = new ArrayDeque<>();
    private double firstPieceMillis;
    private long firstPieceAtMillis;
    private double answerMillis = INITIAL_ANSWER_MILLIS;
    private double workMillis = INITIAL_WORK_MILLIS;
    private LoadShare peerShare = LoadShare.empty();
    private long peerShareAtMillis = Long.MIN_VALUE / 2;
    private int ownRequests;
    private int knownRequestsAtReport;
    private int ownPendingTokens;
    private long unreachableUntilMillis = Long.MIN_VALUE;
    private long lastContactMillis = Long.MIN_VALUE / 2;
    private long lastActiveMillis = TargetActivity.NEVER;
    private OptionalLong askedMillis = OptionalLong.empty();
    private long silentUntilMillis = Long.MIN_VALUE;

    /**
     * Records that a request is sent to the target.
     *
     * @param promptTokens prompt tokens that the target has to process
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordSent(int promptTokens, long nowMillis) {
        ownRequests++;
        ownPendingTokens += promptTokens;
        unansweredSentMillis.addLast(nowMillis);
        if (askedMillis.isEmpty()) {
            askedMillis = OptionalLong.of(nowMillis);
        }
    }

    /**
     * Records that the target started to answer a request.
     *
     * @param promptTokens the value passed to {@link #recordSent}
     * @param startedAtMillis when the request was sent, by the monotonic clock
     * @param pendingTokensBefore the value of {@link #pendingPromptTokens} before it was sent
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordFirstPiece(
            int promptTokens, long startedAtMillis, int pendingTokensBefore, long nowMillis) {
        removeUnanswered(promptTokens, startedAtMillis);
        double elapsedMillis = nowMillis - startedAtMillis;
        // Divided by the mean and not by the current factor: a factor that is no longer true would
        // show as a rate that the target never reaches.
        promptRate.recordSample(
                pendingTokensBefore + promptTokens,
                elapsedMillis / meanWorkFactor(nowMillis),
                nowMillis);
        firstPieceMillis =
                (1 - NEWEST_FIRST_PIECE_WEIGHT) * decayedFirstPieceMillis(nowMillis)
                        + NEWEST_FIRST_PIECE_WEIGHT * elapsedMillis;
        firstPieceAtMillis = nowMillis;
    }

    /**
     * Removes a request from those without an answer, because its answer started or the request
     * ended before.
     *
     * @param promptTokens the value passed to {@link #recordSent}
     * @param startedAtMillis when the request was sent, by the monotonic clock
     */
    public void removeUnanswered(int promptTokens, long startedAtMillis) {
        ownPendingTokens -= promptTokens;
        unansweredSentMillis.removeFirstOccurrence(startedAtMillis);
    }

    private double decayedFirstPieceMillis(long nowMillis) {
        double elapsedMillis = Math.max(0, nowMillis - firstPieceAtMillis);
        return firstPieceMillis * Math.pow(0.5, elapsedMillis / FIRST_PIECE_HALF_LIFE_MILLIS);
    }

    /**
     * Returns how long requests currently wait for the first piece of their answer: the larger of
     * the decayed average of recent answers and the time that the oldest unanswered request has
     * waited.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the time in milliseconds
     */
    public double firstPieceMillis(long nowMillis) {
        Long oldest = unansweredSentMillis.peekFirst();
        return Math.max(
                decayedFirstPieceMillis(nowMillis), oldest == null ? 0 : nowMillis - oldest);
    }

    /**
     * Records an event of a stream.
     *
     * @param gapMillis the time since the previous event of the stream
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordStreamEvent(long gapMillis, long nowMillis) {
        streamStalls.recordGap(gapMillis, nowMillis);
    }

    /**
     * Records that an answer was received completely.
     *
     * @param elapsedMillis the time from the sending of the request to the end of the answer
     */
    public void recordCompleteAnswer(long elapsedMillis) {
        answerMillis += NEWEST_ANSWER_WEIGHT * (elapsedMillis - answerMillis);
    }

    /**
     * Records the answer to a request that was sent while the target had a free slot, so that its
     * duration shows the work and no wait.
     *
     * @param elapsedMillis the time from the sending of the request to the end of the answer
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordUnqueuedAnswer(long elapsedMillis, long nowMillis) {
        workMillis +=
                NEWEST_ANSWER_WEIGHT * (elapsedMillis / meanWorkFactor(nowMillis) - workMillis);
    }

    /**
     * Returns how long the target works on a request, without the wait for a slot.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the time in milliseconds at the current work time of the target
     */
    public double workMillis(long nowMillis) {
        return workMillis * workFactor(nowMillis);
    }

    /**
     * Returns the moving average of the time from the sending of a request to the end of its
     * answer.
     *
     * @return the time in milliseconds
     */
    public double answerMillis() {
        return answerMillis;
    }

    /**
     * Returns the estimated number of prompt tokens that the target processes per millisecond when
     * it does no other work, at its current work time.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return tokens per millisecond
     */
    public double tokensPerMilli(long nowMillis) {
        return promptRate.tokensPerMilli(nowMillis) / workFactor(nowMillis);
    }

    /**
     * Returns by how much the gaps between the events of a stream currently exceed the usual gap.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the excess in milliseconds
     */
    public double stallMillis(long nowMillis) {
        return streamStalls.stallMillis(nowMillis);
    }

    /** Records that a request ended, with any outcome. */
    public void recordEnd() {
        ownRequests--;
    }

    /**
     * Records a load report in an answer of the target.
     *
     * @param load the reported load
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordReport(ReportedLoad load, long nowMillis) {
        applyReport(load, nowMillis, nowMillis);
        hasNewReport = load.workTime().isPresent();
    }

    /**
     * Records a load report that another daemon passed on.
     *
     * @param load the reported load
     * @param ageMillis the time since the target sent it, in milliseconds
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordRelayedReport(ReportedLoad load, long ageMillis, long nowMillis) {
        long atMillis = nowMillis - ageMillis;
        if (atMillis > reportedAtMillis) {
            applyReport(load, atMillis, nowMillis);
            hasNewReport = false;
        }
    }

    private void applyReport(ReportedLoad load, long atMillis, long nowMillis) {
        reported = load;
        reportedAtMillis = atMillis;
        knownRequestsAtReport = knownShare(nowMillis).outstanding();
        load.workTime().ifPresent(workTime -> workFactor.record(workTime, atMillis));
    }

    /**
     * Returns whether the last report is old and no request of this daemon is at the target, whose
     * answer would bring a newer one.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return false when the target has not reported
     */
    public boolean hasOutdatedReport(long nowMillis) {
        return ownRequests == 0
                && reportedAtMillis != NEVER
                && nowMillis - reportedAtMillis > OUTDATED_REPORT_MILLIS;
    }

    /**
     * Returns the last report if this daemon received it from the target itself and has not passed
     * it on, and marks it as passed on.
     *
     * @param target the target of this load
     * @param nowMillis the monotonic time in milliseconds
     * @return the report; empty for targets that do not report how long work takes
     */
    public Optional<RelayedReport> takeNewReport(TargetIncarnation target, long nowMillis) {
        if (!hasNewReport) {
            return Optional.empty();
        }
        hasNewReport = false;
        return Optional.of(
                new RelayedReport(target, reported, Math.max(0, nowMillis - reportedAtMillis)));
    }

    /**
     * Returns by which factor work at the target currently takes longer than usual.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the factor; 1 when the target does not report it
     */
    public double workFactor(long nowMillis) {
        return workFactor.factor(nowMillis);
    }

    /**
     * Returns the long-run mean of the factor by which work at the target takes longer than usual.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the factor; 1 when the target does not report it
     */
    public double meanWorkFactor(long nowMillis) {
        return workFactor.mean(nowMillis);
    }

    /**
     * Returns whether the target has reported how long work takes there.
     *
     * @return false before the first such report
     */
    public boolean reportsWorkTime() {
        return workFactor.isKnown();
    }

    /**
     * Records an attempt whose outcome indicates the health of the target.
     *
     * @param failed whether the attempt failed
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordOutcome(boolean failed, long nowMillis) {
        failures.recordAnswer(failed, nowMillis);
    }

    /**
     * Records that a connection to the target could not be opened.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordConnectionFailure(long nowMillis) {
        unreachableUntilMillis = Math.max(unreachableUntilMillis, nowMillis + UNREACHABLE_MILLIS);
        failures.recordAnswer(true, nowMillis);
    }

    /**
     * Records that the target has ended and nothing listens at its address. Its next run is another
     * incarnation.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordTargetEnd(long nowMillis) {
        unreachableUntilMillis = nowMillis + ENDED_MILLIS;
    }

    /**
     * Records that the target sent data on any connection.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordContact(long nowMillis) {
        lastContactMillis = nowMillis;
        silentUntilMillis = Long.MIN_VALUE;
        askedMillis = OptionalLong.empty();
    }

    /**
     * Records that the target has sent something that was read now.
     *
     * @param sentMillis the earliest time at which it may have been sent, by the monotonic clock
     */
    public void recordActivity(long sentMillis) {
        lastActiveMillis = Math.max(lastActiveMillis, sentMillis);
    }

    /**
     * Returns the latest time at which the target is known to have been running.
     *
     * @return the monotonic time in milliseconds; {@link TargetActivity#NEVER} when nothing is
     *     known
     */
    public long lastActiveMillis() {
        return lastActiveMillis;
    }

    /**
     * Records that the target has sent nothing for some time although it has requests. It may have
     * ended, or go on at any moment.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordSilence(long nowMillis) {
        silentUntilMillis = nowMillis + SILENCE_MILLIS;
    }

    /**
     * Returns whether the target is silent, so that a request is better sent to another one.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return true for some time after a silence, until the target sends something
     */
    public boolean isSilent(long nowMillis) {
        return nowMillis < silentUntilMillis;
    }

    /**
     * Returns the maximum number of requests of this daemon at the target up to which it gets one
     * that another target has refused. A target that may be stopped would read all of them together
     * when it continues, long after they have ended.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @param unreadMillis how long data from the target may have waited in the sockets of this
     *     daemon, in milliseconds
     * @return 0 when the target has sent nothing since it was sent a request some time ago, also
     *     when that request has ended meanwhile; a small number when it has sent nothing lately
     */
    public int maximumForRetries(long nowMillis, long unreadMillis) {
        if (askedMillis.isPresent()
                && nowMillis - askedMillis.getAsLong() - unreadMillis >= OWED_ANSWER_MILLIS) {
            return 0;
        }
        return millisSinceContact(nowMillis) <= RECENT_CONTACT_MILLIS
                ? Integer.MAX_VALUE
                : MAXIMUM_WITHOUT_CONTACT;
    }

    /**
     * Returns the time since the target last sent data on any connection.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the time in milliseconds
     */
    public long millisSinceContact(long nowMillis) {
        return nowMillis - lastContactMillis;
    }

    /**
     * Returns whether the target may receive requests.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return false for some time after a connection could not be opened or the target ended
     */
    public boolean isReachable(long nowMillis) {
        return nowMillis >= unreachableUntilMillis;
    }

    /**
     * Records the load that the peers of this daemon reported for the target.
     *
     * @param share the sum over the peers
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordPeerShare(LoadShare share, long nowMillis) {
        peerShare = share;
        peerShareAtMillis = nowMillis;
    }

    /**
     * Returns the load of this daemon at the target.
     *
     * @return its outstanding requests and their pending prompt tokens
     */
    public LoadShare ownShare() {
        return new LoadShare(ownRequests, ownPendingTokens);
    }

    private LoadShare knownShare(long nowMillis) {
        LoadShare own = ownShare();
        return nowMillis - peerShareAtMillis <= PEER_SHARE_VALIDITY_MILLIS
                ? own.plus(peerShare)
                : own;
    }

    /**
     * Returns an estimate of the requests of all daemons at the target.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the number of running and waiting requests
     */
    public int outstanding(long nowMillis) {
        int known = knownShare(nowMillis).outstanding();
        int sinceReport = known - knownRequestsAtReport;
        return Math.max(known, reported.running() + reported.waiting() + sinceReport);
    }

    /**
     * Returns an estimate of the requests of all other daemons at the target.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the number of running and waiting requests
     */
    public int othersOutstanding(long nowMillis) {
        return Math.max(0, outstanding(nowMillis) - ownRequests);
    }

    /**
     * Returns the number of waiting requests in the last report of the target.
     *
     * @return the number
     */
    public int waiting() {
        return reported.waiting();
    }

    /**
     * Returns the known prompt tokens that the target has not processed yet.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the number of tokens
     */
    public int pendingPromptTokens(long nowMillis) {
        return knownShare(nowMillis).pendingPromptTokens();
    }

    /**
     * Returns the share of failures among the recent answers of the target.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the share, from 0 to 1
     */
    public double failureShare(long nowMillis) {
        return failures.at(nowMillis);
    }

    /**
     * Records that the target has processed a prompt and has probably cached its parts.
     *
     * @param scope the scope of the cached parts: model and adapter
     * @param promptParts the parts of the prompt, in order
     */
    public void recordCachedParts(String scope, List<PromptPart> promptParts) {
        promptParts.forEach(part -> cachedParts.put(scope + '|' + part.contentId(), part.tokens()));
    }

    /**
     * Returns how many leading tokens of a prompt the target has probably cached.
     *
     * @param scope model and adapter
     * @param promptParts the parts of the prompt, in order
     * @return the number of tokens
     */
    public int cachedTokens(String scope, List<PromptPart> promptParts) {
        int cached = 0;
        for (PromptPart part : promptParts) {
            if (!cachedParts.containsKey(scope + '|' + part.contentId())) {
                return cached;
            }
            cached += part.tokens();
        }
        return cached;
    }
}
