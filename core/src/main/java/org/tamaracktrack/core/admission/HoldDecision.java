package org.tamaracktrack.core.admission;

/** What happens to a request now. */
public sealed interface HoldDecision {

    /**
     * Returns whether the first piece is expected after the objective.
     *
     * @return true for late work
     */
    boolean late();

    /**
     * The request is sent.
     *
     * @param late whether it is late
     */
    record Send(boolean late) implements HoldDecision {}

    /**
     * The request waits for room at a target.
     *
     * @param untilMillis when it is decided again at the latest, by the monotonic clock
     * @param late whether it is late
     */
    record Hold(long untilMillis, boolean late) implements HoldDecision {}

    /**
     * The request is refused as not run.
     *
     * @param retryAfterMillis when room is expected, in milliseconds from now
     * @param late whether it is late
     */
    record Refuse(long retryAfterMillis, boolean late) implements HoldDecision {}
}
