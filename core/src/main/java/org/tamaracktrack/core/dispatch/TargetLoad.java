package org.tamaracktrack.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;

/**
 * What one daemon knows of the load of one incarnation of a target: its own requests there, what
 * the target last reported, how its answers went, and which prompt parts it read. Owned by the
 * traffic thread.
 */
public final class TargetLoad {
    /** Parts remembered for each target; a target's own cache holds about as many. */
    private static final int MOST_PARTS = 512;

    /** Half of what the last first pieces took is forgotten in this time. */
    private static final double FIRST_PIECE_HALF_LIFE_MILLIS = 800;

    /** Weight of the newest first piece against those before. */
    private static final double NEWEST = 0.4;

    /** What an answer is taken to last before one was seen. */
    private static final double FIRST_ANSWER_MILLIS = 2_000;

    /** Weight of the newest whole answer's duration; the last ten or so decide. */
    private static final double NEWEST_ANSWER = 0.1;

    /** What was heard of other daemons' requests counts for this long. */
    private static final long OTHERS_MILLIS = 1_000;

    /** A connection that could not be opened keeps new work away for this long. */
    private static final long UNREACHABLE_MILLIS = 1_000;

    /** The registry drops a target that has ended well before this time is over. */
    private static final long GONE_MILLIS = 10_000;

    private final FailureScore failures = new FailureScore();
    private final ReadingSpeed reading = ReadingSpeed.unknown();
    private final StreamPace pace = StreamPace.unknown();
    private final Map<String, Integer> parts = RecentlyUsed.of(MOST_PARTS);
    private ReportedLoad reported = new ReportedLoad(0, 0);
    private final Deque<Long> unstarted = new ArrayDeque<>();
    private double firstPieceMillis;
    private long firstPieceAtMillis;
    private double answerMillis = FIRST_ANSWER_MILLIS;
    private LoadShare others = LoadShare.empty();
    private long othersAtMillis = Long.MIN_VALUE / 2;
    private int own;
    private int knownAtReport;
    private int unread;
    private long unreachableUntilMillis = Long.MIN_VALUE;
    private long heardAtMillis = Long.MIN_VALUE / 2;

    /**
     * A request is sent to the target.
     *
     * @param promptTokens tokens that it has to read
     * @param nowMillis the monotonic time
     */
    public void started(int promptTokens, long nowMillis) {
        own++;
        unread += promptTokens;
        unstarted.addLast(nowMillis);
    }

    /**
     * The target began to answer a request.
     *
     * @param promptTokens what was given to {@link #started}
     * @param startedAtMillis when the request was sent
     * @param aheadTokens what {@link #unreadTokens} was before it was sent
     * @param nowMillis the monotonic time
     */
    public void read(int promptTokens, long startedAtMillis, int aheadTokens, long nowMillis) {
        dropped(promptTokens, startedAtMillis);
        double took = nowMillis - startedAtMillis;
        reading.note(aheadTokens + promptTokens, took, nowMillis);
        firstPieceMillis = (1 - NEWEST) * faded(nowMillis) + NEWEST * took;
        firstPieceAtMillis = nowMillis;
    }

    /**
     * A request ended before the target began to answer it.
     *
     * @param promptTokens what was given to {@link #started}
     * @param startedAtMillis when the request was sent
     */
    public void dropped(int promptTokens, long startedAtMillis) {
        unread -= promptTokens;
        unstarted.removeFirstOccurrence(startedAtMillis);
    }

    private double faded(long nowMillis) {
        double passed = Math.max(0, nowMillis - firstPieceAtMillis);
        return firstPieceMillis * Math.pow(0.5, passed / FIRST_PIECE_HALF_LIFE_MILLIS);
    }

    /**
     * Returns how long requests wait for the first piece of their answer now: at least as long as
     * the oldest has waited that has none yet, and about as long as the last ones that got theirs.
     *
     * @param nowMillis the monotonic time
     * @return milliseconds
     */
    public double firstPieceMillis(long nowMillis) {
        Long oldest = unstarted.peekFirst();
        return Math.max(faded(nowMillis), oldest == null ? 0 : nowMillis - oldest);
    }

    /**
     * The next event of a stream came.
     *
     * @param gapMillis the time since the one before
     * @param nowMillis the monotonic time
     */
    public void event(long gapMillis, long nowMillis) {
        pace.note(gapMillis, nowMillis);
    }

    /**
     * A whole answer came.
     *
     * @param tookMillis from the sending of its request to its end
     */
    public void whole(long tookMillis) {
        answerMillis += NEWEST_ANSWER * (tookMillis - answerMillis);
    }

    /**
     * Returns how long an answer takes from beginning to end, on average of late.
     *
     * @return milliseconds
     */
    public double answerMillis() {
        return answerMillis;
    }

    /**
     * Returns how many prompt tokens the target reads in a millisecond when it does nothing else.
     *
     * @param nowMillis the monotonic time
     * @return tokens a millisecond
     */
    public double tokensPerMilli(long nowMillis) {
        return reading.tokensPerMilli(nowMillis);
    }

    /**
     * Returns by how much the events of its streams come later now than usual.
     *
     * @param nowMillis the monotonic time
     * @return milliseconds between two events of one stream, beyond the usual
     */
    public double stallMillis(long nowMillis) {
        return pace.stallMillis(nowMillis);
    }

    /** A request ended, however. */
    public void ended() {
        own--;
    }

    /**
     * The target reported its load.
     *
     * @param load what it said
     * @param nowMillis the monotonic time
     */
    public void report(ReportedLoad load, long nowMillis) {
        reported = load;
        knownAtReport = known(nowMillis).outstanding();
    }

    /**
     * An attempt ended with a word on the target's health.
     *
     * @param failed whether it failed
     * @param nowMillis the monotonic time
     */
    public void answered(boolean failed, long nowMillis) {
        failures.note(failed, nowMillis);
    }

    /**
     * A connection could not be opened.
     *
     * @param nowMillis the monotonic time
     */
    public void unreachable(long nowMillis) {
        unreachableUntilMillis = Math.max(unreachableUntilMillis, nowMillis + UNREACHABLE_MILLIS);
        failures.note(true, nowMillis);
    }

    /**
     * The target has ended: nobody listens at its address. Its next run is another incarnation.
     *
     * @param nowMillis the monotonic time
     */
    public void gone(long nowMillis) {
        unreachableUntilMillis = nowMillis + GONE_MILLIS;
    }

    /**
     * The target sent something, on whatever connection.
     *
     * @param nowMillis the monotonic time
     */
    public void heard(long nowMillis) {
        heardAtMillis = nowMillis;
    }

    /**
     * Returns how long the target has sent nothing on any connection.
     *
     * @param nowMillis the monotonic time
     * @return milliseconds
     */
    public long silentMillis(long nowMillis) {
        return nowMillis - heardAtMillis;
    }

    /**
     * Returns whether the target may be given work.
     *
     * @param nowMillis the monotonic time
     * @return false shortly after a connection could not be opened
     */
    public boolean reachable(long nowMillis) {
        return nowMillis >= unreachableUntilMillis;
    }

    /**
     * Other daemons said what they have at the target.
     *
     * @param share the sum over them
     * @param nowMillis the monotonic time
     */
    public void others(LoadShare share, long nowMillis) {
        others = share;
        othersAtMillis = nowMillis;
    }

    /**
     * Returns what this daemon has at the target.
     *
     * @return its requests and their prompt tokens that are not read yet
     */
    public LoadShare own() {
        return new LoadShare(own, unread);
    }

    private LoadShare known(long nowMillis) {
        LoadShare mine = own();
        return nowMillis - othersAtMillis <= OTHERS_MILLIS ? mine.plus(others) : mine;
    }

    /**
     * Returns an estimate of the requests at the target, of all daemons.
     *
     * @param nowMillis the monotonic time
     * @return running and waiting requests
     */
    public int outstanding(long nowMillis) {
        int known = known(nowMillis).outstanding();
        int sinceReport = known - knownAtReport;
        return Math.max(known, reported.running() + reported.waiting() + sinceReport);
    }

    /**
     * Returns how many requests wait at the target, as it last said.
     *
     * @return the number
     */
    public int waiting() {
        return reported.waiting();
    }

    /**
     * Returns the prompt tokens that the target has not read yet, as far as they are known.
     *
     * @param nowMillis the monotonic time
     * @return the tokens
     */
    public int unreadTokens(long nowMillis) {
        return known(nowMillis).unreadTokens();
    }

    /**
     * Returns the share of failures among its answers of late.
     *
     * @param nowMillis the monotonic time
     * @return 0 to 1
     */
    public double failureShare(long nowMillis) {
        return failures.at(nowMillis);
    }

    /**
     * The target has read a prompt, and keeps its parts for a while.
     *
     * @param scope what the parts are valid for: model and adapter
     * @param read the parts in order
     */
    public void remember(String scope, List<PromptPart> read) {
        read.forEach(part -> parts.put(scope + '|' + part.name(), part.tokens()));
    }

    /**
     * Returns how many leading tokens of a prompt the target has probably kept.
     *
     * @param scope model and adapter
     * @param wanted the prompt's parts in order
     * @return the tokens
     */
    public int keptTokens(String scope, List<PromptPart> wanted) {
        int kept = 0;
        for (PromptPart part : wanted) {
            if (!parts.containsKey(scope + '|' + part.name())) {
                return kept;
            }
            kept += part.tokens();
        }
        return kept;
    }
}
