package org.tamaracktrack.core.admission;

import java.util.Objects;
import org.tamaracktrack.core.admission.HoldPolicy.Room;

/**
 * Keeps the work that is pending at targets short enough for the most urgent work in use: less
 * urgent work and late work wait at the daemon until a target has little to do, or until they have
 * to be sent.
 */
public final class ObjectiveHoldPolicy implements HoldPolicy {
    /**
     * Expected wait, relative to the shortest objective of more urgent work, up to which patient
     * and late work is sent. The other half is for the prompt of urgent work that arrives next and
     * for requests of other daemons that are not reported yet.
     */
    private static final double LITTLE_PENDING_RATIO = 0.5;

    /** Counterpart for urgent work of a lower priority, which has little time to wait. */
    private static final double LOWER_PRIORITY_RATIO = 0.75;

    /** Part of the objective by which held work is sent earlier than its last moment. */
    private static final double MARGIN_RATIO = 0.1;

    /** Bound of the margin; it covers the interval between two passes and a late timer. */
    private static final double MAX_MARGIN_MILLIS = 250;

    private final ServiceObjectives objectives;

    private ObjectiveHoldPolicy(ServiceObjectives objectives) {
        this.objectives = objectives;
    }

    /**
     * Returns a policy.
     *
     * @param objectives the objectives in use at each service
     * @return the policy
     */
    public static ObjectiveHoldPolicy of(ServiceObjectives objectives) {
        return new ObjectiveHoldPolicy(Objects.requireNonNull(objectives, "objectives is null"));
    }

    @Override
    public HoldDecision decide(RequestTerms request, Outlook outlook, long nowMillis) {
        double firstPieceAtMillis = nowMillis + outlook.firstPieceMillis();
        boolean late = firstPieceAtMillis > request.objectiveAtMillis();
        // Only an answer brings a newer report. If requests were refused or held by an old one,
        // none
        // would be sent to a target that has long recovered.
        if (outlook.room() == Room.OUTDATED && !outlook.moreUrgentHeld()) {
            return new HoldDecision.Send(late);
        }
        if (firstPieceAtMillis > request.leavesAtMillis()) {
            return refuse(request, outlook, late);
        }
        return late
                ? decideLate(request, outlook, nowMillis)
                : decideInTime(request, outlook, nowMillis);
    }

    private HoldDecision decideInTime(RequestTerms request, Outlook outlook, long nowMillis) {
        if (hasRoom(request, outlook, nowMillis) && !outlook.moreUrgentHeld()) {
            return new HoldDecision.Send(false);
        }
        long lastMillis = lastSendMillis(request, request.objectiveAtMillis(), outlook);
        if (nowMillis < lastMillis) {
            return new HoldDecision.Hold(lastMillis, false);
        }
        // Work that has yielded up to its last moment is sent without room, unless that would make
        // more urgent work late. Patient work has yielded for seconds by then and always is sent:
        // held on, it would fail after the longest wait of all.
        boolean harmless =
                !outlook.moreUrgentHeld()
                        && !outlook.excessive()
                        && outlook.firstPieceMillis()
                                <= objectives.shortestMoreUrgentMillis(request, nowMillis);
        return request.isPatient() || harmless
                ? new HoldDecision.Send(false)
                : holdUntilCallerLeaves(request, outlook, nowMillis);
    }

    private boolean hasRoom(RequestTerms request, Outlook outlook, long nowMillis) {
        double ratio = request.isPatient() ? LITTLE_PENDING_RATIO : LOWER_PRIORITY_RATIO;
        // An account with more than its part leaves room for requests of the others.
        long yieldsToMillis =
                outlook.excessive()
                        ? objectives.shortestMillis(request, nowMillis)
                        : objectives.shortestMoreUrgentMillis(request, nowMillis);
        return outlook.room() == Room.UNQUEUED
                || outlook.firstPieceMillis() <= ratio * yieldsToMillis;
    }

    private HoldDecision decideLate(RequestTerms request, Outlook outlook, long nowMillis) {
        boolean room =
                outlook.room() == Room.UNQUEUED
                        || outlook.firstPieceMillis()
                                <= LITTLE_PENDING_RATIO
                                        * objectives.shortestMillis(request, nowMillis);
        return room && !outlook.moreUrgentHeld()
                ? new HoldDecision.Send(true)
                : holdUntilCallerLeaves(request, outlook, nowMillis);
    }

    // At its last moment, late work is sent where new work of its kind would be in time. If it were
    // always sent, targets under a lasting overload would have only late work.
    private HoldDecision holdUntilCallerLeaves(
            RequestTerms request, Outlook outlook, long nowMillis) {
        long lastMillis = lastSendMillis(request, request.leavesAtMillis(), outlook);
        if (nowMillis < lastMillis) {
            return new HoldDecision.Hold(lastMillis, true);
        }
        return outlook.firstPieceMillis()
                        <= LOWER_PRIORITY_RATIO * objectives.shortestMillis(request, nowMillis)
                ? new HoldDecision.Send(true)
                : refuse(request, outlook, true);
    }

    private static long lastSendMillis(RequestTerms request, long limitMillis, Outlook outlook) {
        double marginMillis = Math.min(MAX_MARGIN_MILLIS, MARGIN_RATIO * request.objectiveMillis());
        return (long) (limitMillis - outlook.firstPieceMillis() - marginMillis);
    }

    private static HoldDecision refuse(RequestTerms request, Outlook outlook, boolean late) {
        double roomMillis = outlook.firstPieceMillis() - request.objectiveMillis();
        return new HoldDecision.Refuse((long) Math.max(0, roomMillis), late);
    }
}
