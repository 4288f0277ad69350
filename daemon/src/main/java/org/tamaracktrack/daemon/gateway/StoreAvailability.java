package org.tamaracktrack.daemon.gateway;

import org.jboss.logging.Logger;
import org.tamaracktrack.core.knowledge.DualTimestamp;
import org.tamaracktrack.core.knowledge.StoreFreshness;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.topic.TopicAnswer;
import org.tamaracktrack.link.topic.TopicPart;

/**
 * Tracks whether the store answers reads of a partition, and how up to date the information about
 * it is. Used on the control thread, except where stated otherwise.
 */
final class StoreAvailability {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.topics");
    private static final long MIN_RETRY_DELAY_MILLIS = 100;
    private static final long MAX_RETRY_DELAY_MILLIS = 800;

    /**
     * Records that are received this long after the partition was last known completely are logged.
     */
    private static final long LATE_RECORDS_MILLIS = 1_000;

    private final TopicPart part;
    private final KeyedFollower.Listener listener;
    private final KeyedFollower.StalenessPolicy stalenessPolicy;
    private long retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
    private boolean failing;
    private boolean nextReadMayWait;
    private boolean storeUnavailable;
    private long lastAnswerMillis = Long.MIN_VALUE / 2;
    private long unavailableAtMillis;
    private long availableAtMillis;
    private boolean holderReadConfirmed;
    private volatile StoreFreshness freshness = StoreFreshness.unknown();

    StoreAvailability(
            TopicPart part,
            KeyedFollower.Listener listener,
            KeyedFollower.StalenessPolicy stalenessPolicy) {
        this.part = part;
        this.listener = listener;
        this.stalenessPolicy = stalenessPolicy;
    }

    /** Returns how up to date the information is. Safe for use by any thread. */
    StoreFreshness freshness() {
        return freshness;
    }

    /**
     * Returns whether no read has been answered since the last failed read or since the store
     * became unavailable.
     */
    boolean failing() {
        return failing || storeUnavailable;
    }

    /**
     * Returns whether the next read may wait for records, since one that did not wait timed out.
     */
    boolean nextReadMayWait() {
        return nextReadMayWait;
    }

    long millisSinceComplete() {
        return ControlThread.nowMillis() - freshness.completeAt().steadyMillis();
    }

    /** Logs that records were received late, by the relay or a read. */
    void logLateRecords(String source, int records, DualTimestamp lastReadStartedAt) {
        if (millisSinceComplete() > LATE_RECORDS_MILLIS) {
            LOG.info(
                    "event=records-late part="
                            + part
                            + " source="
                            + source
                            + " records="
                            + records
                            + " whole_before_ms="
                            + millisSinceComplete()
                            + " asked_before_ms="
                            + Clocks.millisSince(lastReadStartedAt));
        }
    }

    /** Records that everything written before a time is known. */
    void recordComplete(DualTimestamp completeAt) {
        if (completeAt.steadyMillis() > freshness.completeAt().steadyMillis()) {
            freshness = freshness.afterRead(completeAt);
            listener.onComplete(completeAt.steadyMillis());
        }
    }

    /** Records that a read was answered. */
    void recordAnswer() {
        lastAnswerMillis = ControlThread.nowMillis();
        retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
        failing = false;
        nextReadMayWait = false;
        if (storeUnavailable) {
            storeUnavailable = false;
            LOG.info("event=store-back part=" + part);
            availableAtMillis = ControlThread.nowMillis();
            listener.onStoreAvailable(availableAtMillis);
        }
    }

    /**
     * Records that the store was restored from a copy: later records may be missing for a while.
     */
    void recordRestoration() {
        holderReadConfirmed = false;
        if (!storeUnavailable) {
            markUnavailable(Clocks.now());
        }
    }

    /**
     * Records a failed read that is followed by another one.
     *
     * @return the delay before the next read in milliseconds
     */
    long recordFailureAndBackOff(TopicAnswer<?> answer, PendingRead read) {
        if (failing) {
            nextReadMayWait = !nextReadMayWait && answer instanceof TopicAnswer.Unknown<?>;
        }
        failing = true;
        recordFailure(answer, read);
        long pauseMillis = retryDelayMillis;
        retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, 2 * retryDelayMillis);
        return pauseMillis;
    }

    // The reads of a daemon that is delayed, or whose link is saturated, exceed their timeout even
    // when the store works. If that counted as an outage, stale information would be acted on and
    // missing targets kept at that very time. A read that started before another one was answered
    // shows no present outage either.
    void recordFailure(TopicAnswer<?> answer, PendingRead read) {
        if (read.startedAt().steadyMillis() < lastAnswerMillis) {
            LOG.info("event=read-outdated " + describe(answer, read.startedAt()));
            return;
        }
        if (!isStoreAnswer(answer) && !read.indicatesStoreFailure(stalenessPolicy.selfCheck())) {
            LOG.info("event=read-late " + describe(answer, read.startedAt()));
            return;
        }
        if (!storeUnavailable) {
            holderReadConfirmed = false;
            LOG.warn("event=store-away " + describe(answer, read.startedAt()));
        }
        markUnavailable(read.startedAt());
    }

    private static boolean isStoreAnswer(TopicAnswer<?> answer) {
        return answer instanceof TopicAnswer.Unavailable<?> unavailable && unavailable.answered();
    }

    private void markUnavailable(DualTimestamp readStartedAt) {
        freshness = freshness.afterStoreUnavailable(readStartedAt);
        if (!storeUnavailable) {
            storeUnavailable = true;
            unavailableAtMillis = readStartedAt.steadyMillis();
            listener.onStoreUnavailable();
        }
    }

    String describe(TopicAnswer<?> answer, DualTimestamp readStartedAt) {
        return "part="
                + part
                + " answer="
                + answer
                + " asked_before_ms="
                + Clocks.millisSince(readStartedAt);
    }

    // The holder may have started a read before the store's return and got its answer afterwards;
    // it started its next read after that answer. In this way a host that was cut off alone learns
    // that the store was never unavailable, and does not keep a target that left meanwhile as a
    // lapsed one.
    void recordHolderRead(long completeAtMillis) {
        if (completeAtMillis <= unavailableAtMillis) {
            return;
        }
        recordAnswer();
        if (holderReadConfirmed && completeAtMillis < availableAtMillis) {
            availableAtMillis = completeAtMillis;
            LOG.info(
                    "event=store-back-earlier part="
                            + part
                            + " before_ms="
                            + (ControlThread.nowMillis() - completeAtMillis));
            listener.onStoreAvailable(completeAtMillis);
        }
        holderReadConfirmed = true;
    }

    void recordHolderLost() {
        holderReadConfirmed = false;
    }
}
