package org.tamaracktrack.core.admission;

/** Decides whether a request is sent to its best target, waits at the daemon or is refused. */
public interface HoldPolicy {

    /**
     * Decides on a request that has not been sent to any target.
     *
     * @param request the request
     * @param outlook what is expected at its best target
     * @param nowMillis the monotonic time in milliseconds
     * @return the decision
     */
    HoldDecision decide(RequestTerms request, Outlook outlook, long nowMillis);

    /**
     * What a request can expect.
     *
     * @param firstPieceMillis the time to the first piece at its best target, in milliseconds
     * @param room the room at that target
     * @param moreUrgentHeld whether a more urgent request for the same model is held
     * @param excessive whether its client account uses far more than an equal part of the service
     */
    record Outlook(double firstPieceMillis, Room room, boolean moreUrgentHeld, boolean excessive) {}

    /** The room at a target, besides the expected time to the first piece there. */
    enum Room {
        /** The expected time decides. */
        BUSY,
        /** The target would begin with the request at once, however long it takes. */
        UNQUEUED,
        /**
         * The expected time rests on an old report, and no answer is on its way that brings a newer
         * one.
         */
        OUTDATED
    }
}
