package org.tamaracktrack.daemon.gateway;

import org.jboss.logging.Logger;
import org.tamaracktrack.core.knowledge.DualTimestamp;
import org.tamaracktrack.core.knowledge.StoreFreshness;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.topic.TopicAnswer;
import org.tamaracktrack.link.topic.TopicPart;

/**
 * Whether the store answers reads of a partition, and how far what is known of it reaches. On the
 * control thread, but where it says otherwise.
 */
final class StoreContact {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.topics");
    private static final long FIRST_RETRY_MILLIS = 100;
    private static final long MOST_RETRY_MILLIS = 800;

    /** Records that are heard of this long after the partition was last known whole are logged. */
    private static final long LATE_MILLIS = 1_000;

    private final TopicPart part;
    private final KeyedFollower.Listener listener;
    private final KeyedFollower.Watch watch;
    private long retryMillis = FIRST_RETRY_MILLIS;
    private boolean failing;
    private boolean needsTime;
    private boolean away;
    private long answeredAtMillis = Long.MIN_VALUE / 2;
    private long awayAtMillis;
    private long returnedAtMillis;
    private boolean holderWasAnswered;
    private volatile StoreFreshness knowledge = StoreFreshness.unknown();

    StoreContact(TopicPart part, KeyedFollower.Listener listener, KeyedFollower.Watch watch) {
        this.part = part;
        this.listener = listener;
        this.watch = watch;
    }

    /** How far what is known reaches; for any thread. */
    StoreFreshness knowledge() {
        return knowledge;
    }

    /** Whether no read has been answered since one failed, or since the store was away. */
    boolean failing() {
        return failing || away;
    }

    /** Whether the next read may take its time, since one that did not wait timed out. */
    boolean needsTime() {
        return needsTime;
    }

    long wholeBeforeMillis() {
        return ControlThread.nowMillis() - knowledge.completeAt().steadyMillis();
    }

    /** Records are heard of, by the relay or a read. */
    void noteLate(String source, int records, DualTimestamp lastAsked) {
        if (wholeBeforeMillis() > LATE_MILLIS) {
            LOG.info(
                    "event=records-late part="
                            + part
                            + " source="
                            + source
                            + " records="
                            + records
                            + " whole_before_ms="
                            + wholeBeforeMillis()
                            + " asked_before_ms="
                            + Clocks.agoMillis(lastAsked));
        }
    }

    /** Every record that was written before a moment is known. */
    void wholeAt(DualTimestamp at) {
        if (at.steadyMillis() > knowledge.completeAt().steadyMillis()) {
            knowledge = knowledge.afterRead(at);
            listener.onWhole(at.steadyMillis());
        }
    }

    /** A read was answered. */
    void back() {
        answeredAtMillis = ControlThread.nowMillis();
        retryMillis = FIRST_RETRY_MILLIS;
        failing = false;
        needsTime = false;
        if (away) {
            away = false;
            LOG.info("event=store-back part=" + part);
            returnedAtMillis = ControlThread.nowMillis();
            listener.onBack(returnedAtMillis);
        }
    }

    /** The store is back from a copy: what was written since may be missing for a while. */
    void restored() {
        holderWasAnswered = false;
        if (!away) {
            goAway(Clocks.now());
        }
    }

    /**
     * A read failed, and another one follows.
     *
     * @return the pause before that one
     */
    long retry(TopicAnswer<?> answer, ReadAsked asked) {
        if (failing) {
            needsTime = !needsTime && answer instanceof TopicAnswer.Unknown<?>;
        }
        failing = true;
        failed(answer, asked);
        long pauseMillis = retryMillis;
        retryMillis = Math.min(MOST_RETRY_MILLIS, 2 * retryMillis);
        return pauseMillis;
    }

    // A daemon that is held up, or whose link is full, finds its reads over their time, however
    // well the store is. Taken for an outage, old knowledge would be acted on and missing targets
    // kept just then. Nor is it an outage that ended before another read was answered.
    void failed(TopicAnswer<?> answer, ReadAsked asked) {
        if (asked.moment().steadyMillis() < answeredAtMillis) {
            LOG.info("event=read-outdated " + describe(answer, asked.moment()));
            return;
        }
        if (!answered(answer) && !asked.tellsOfTheStore(watch.self())) {
            LOG.info("event=read-late " + describe(answer, asked.moment()));
            return;
        }
        if (!away) {
            holderWasAnswered = false;
            LOG.warn("event=store-away " + describe(answer, asked.moment()));
        }
        goAway(asked.moment());
    }

    private static boolean answered(TopicAnswer<?> answer) {
        return answer instanceof TopicAnswer.Unavailable<?> unavailable && unavailable.answered();
    }

    private void goAway(DualTimestamp asked) {
        knowledge = knowledge.afterStoreUnavailable(asked);
        if (!away) {
            away = true;
            awayAtMillis = asked.steadyMillis();
            listener.onAway();
        }
    }

    String describe(TopicAnswer<?> answer, DualTimestamp asked) {
        return "part=" + part + " answer=" + answer + " asked_before_ms=" + Clocks.agoMillis(asked);
    }

    // The holder may have asked before the store's return and been answered after it; what it read
    // next it asked for after that answer. A host that was cut off alone learns so that the store
    // was never away, and does not keep a target that left meanwhile as one that has lapsed.
    void holderHasRead(long wholeAtMillis) {
        if (wholeAtMillis <= awayAtMillis) {
            return;
        }
        back();
        if (holderWasAnswered && wholeAtMillis < returnedAtMillis) {
            returnedAtMillis = wholeAtMillis;
            LOG.info(
                    "event=store-back-earlier part="
                            + part
                            + " before_ms="
                            + (ControlThread.nowMillis() - wholeAtMillis));
            listener.onBack(wholeAtMillis);
        }
        holderWasAnswered = true;
    }

    void holderLost() {
        holderWasAnswered = false;
    }
}
