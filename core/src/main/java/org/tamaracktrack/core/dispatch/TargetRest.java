package org.tamaracktrack.core.dispatch;

import java.util.OptionalLong;

/**
 * The rest that a target has asked this daemon for. After its end, one request at a time is sent as
 * a trial until the target has answered without asking for another rest.
 */
final class TargetRest {
    /**
     * A target refuses within milliseconds. A trial that has no answer for this long may have been
     * lost, and no longer keeps others from being sent.
     */
    static final long MAX_TRIAL_MILLIS = 1_000;

    private final long untilMillis;
    private final OptionalLong trialSentMillis;

    private TargetRest(long untilMillis, OptionalLong trialSentMillis) {
        this.untilMillis = untilMillis;
        this.trialSentMillis = trialSentMillis;
    }

    /** Returns a rest that ends at a time. */
    static TargetRest until(long untilMillis) {
        return new TargetRest(untilMillis, OptionalLong.empty());
    }

    /** Returns the rest after a further statement, which never ends it earlier. */
    TargetRest extendedTo(long laterMillis) {
        return until(Math.max(untilMillis, laterMillis));
    }

    boolean hasEnded(long nowMillis) {
        return nowMillis >= untilMillis;
    }

    /** Returns whether a request may be sent now. */
    boolean permits(long nowMillis) {
        return remainingMillis(nowMillis) == 0;
    }

    /** Returns the time until a request may be sent; 0 if one may be sent now. */
    long remainingMillis(long nowMillis) {
        long trialEndMillis =
                trialSentMillis.isPresent()
                        ? trialSentMillis.getAsLong() + MAX_TRIAL_MILLIS
                        : untilMillis;
        return Math.max(0, Math.max(untilMillis, trialEndMillis) - nowMillis);
    }

    /** Returns the rest while a trial is under way. */
    TargetRest withTrial(long nowMillis) {
        return new TargetRest(untilMillis, OptionalLong.of(nowMillis));
    }
}
