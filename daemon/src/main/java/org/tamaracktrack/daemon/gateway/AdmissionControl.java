package org.tamaracktrack.daemon.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.tamaracktrack.core.admission.AccountUsage;
import org.tamaracktrack.core.admission.HeldRequests;
import org.tamaracktrack.core.admission.HoldDecision;
import org.tamaracktrack.core.admission.HoldPolicy;
import org.tamaracktrack.core.admission.ObjectiveHoldPolicy;
import org.tamaracktrack.core.admission.RefusalSpread;
import org.tamaracktrack.core.admission.ReleasePass;
import org.tamaracktrack.core.admission.RequestTerms;
import org.tamaracktrack.core.admission.ServiceObjectives;
import org.tamaracktrack.core.dispatch.TargetLoad;
import org.tamaracktrack.core.dispatch.TargetSelector;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.id.ServiceId;

/**
 * Holds requests of services under admission control until a target has room for them. Owned by the
 * traffic thread.
 */
final class AdmissionControl {
    private static final int MAX_HELD_REQUESTS = 512;

    /** Half of the memory that control may use in a daemon. */
    private static final long MAX_HELD_BYTES = 16L * 1_024 * 1_024;

    private static final long MIN_PASS_INTERVAL_MILLIS = 5;

    /**
     * Interval of passes without a change of the load of this daemon: the load that other daemons
     * report changes about as often.
     */
    private static final long MAX_PASS_INTERVAL_MILLIS = 50;

    private final GatewayContext context;
    private final ServiceObjectives objectives = ServiceObjectives.empty();
    private final HoldPolicy policy = ObjectiveHoldPolicy.of(objectives);
    private final HeldRequests<ForwardedRequest> held;
    private final ReleasePass passes = ReleasePass.create();
    private final RefusalSpread refusals = RefusalSpread.empty();
    private final Set<ServiceId> reporting = new HashSet<>();
    private boolean always;
    private long lastPassMillis = Long.MIN_VALUE / 2;
    private long nextPassMillis = Long.MAX_VALUE;

    AdmissionControl(GatewayContext context, AccountUsage usage) {
        this.context = context;
        this.held = HeldRequests.of(MAX_HELD_REQUESTS, MAX_HELD_BYTES, usage);
        context.metrics().registerHeldRequests(held::size);
    }

    /** Turns admission control on for all services, or only for those that report work times. */
    void always(boolean newAlways) {
        always = newAlways;
    }

    /** Returns whether requests to all services are under admission control. */
    boolean isOnForAll() {
        return always;
    }

    /** Returns whether requests to any service are under admission control. */
    boolean isOnForAny() {
        return always || !reporting.isEmpty();
    }

    /** Returns whether requests to a service are under admission control. */
    boolean isOn(ServiceId service) {
        return always || reporting.contains(service);
    }

    /** As above; a target that reports how long work takes turns it on for its service. */
    boolean isOn(TargetEntry selected) {
        if (!isOn(selected.service())
                && context.loads().of(selected.incarnation()).reportsWorkTime()) {
            reporting.add(selected.service());
        }
        return isOn(selected.service());
    }

    /** Records a request, whose objective counts for other work of its service from now on. */
    void recordArrival(RequestTerms terms) {
        objectives.record(terms, context.nowMillis());
    }

    /**
     * Decides on a request that has not been sent. When the result is a hold, the request is held,
     * unless it was refused for lack of room.
     */
    HoldDecision decide(
            ForwardedRequest request, RequestTerms terms, TargetSelector.Selection selection) {
        long nowMillis = context.nowMillis();
        HoldDecision decision =
                policy.decide(
                        terms,
                        held.outlook(
                                terms,
                                selection.firstPieceMillis(),
                                room(selection.entry()),
                                nowMillis),
                        nowMillis);
        if (decision instanceof HoldDecision.Hold hold && !context.leaving()) {
            List<ForwardedRequest> unfit = held.add(request, terms, hold, nowMillis);
            unfit.forEach(removed -> removed.refuseForLackOfRoom());
            passAt(Math.min(hold.untilMillis(), nowMillis + MAX_PASS_INTERVAL_MILLIS));
        }
        return decision;
    }

    private HoldPolicy.Room room(TargetEntry entry) {
        long nowMillis = context.nowMillis();
        TargetLoad load = context.loads().of(entry.incarnation());
        if (TargetSelector.isUnqueued(load, entry.slots(), nowMillis)) {
            return HoldPolicy.Room.UNQUEUED;
        }
        return load.hasOutdatedReport(nowMillis) ? HoldPolicy.Room.OUTDATED : HoldPolicy.Room.BUSY;
    }

    /**
     * Returns how long the targets of a service work on what is held ahead of a request, in
     * milliseconds.
     */
    long heldAheadMillis(RequestTerms terms, TargetEntry selected) {
        long targets = Math.max(1, context.view().fleet().ready(terms.service()).count());
        double tokensPerMilli =
                context.loads().of(selected.incarnation()).tokensPerMilli(context.nowMillis());
        return (long) (held.tokensAhead(terms) / (tokensPerMilli * targets));
    }

    /** Returns when a refused caller should return, in milliseconds from now. */
    long retryAfterMillis(long roomMillis) {
        return refusals.retryAfterMillis(roomMillis, context.nowMillis(), context.draw());
    }

    boolean holds(ForwardedRequest request) {
        return held.contains(request);
    }

    /** Removes a request that is sent to a target. */
    void release(ForwardedRequest request) {
        held.release(request);
        passSoon();
    }

    /** Removes a request that ends or waits for something else. */
    void remove(ForwardedRequest request) {
        held.remove(request);
    }

    /** Decides again soon, because something has changed on which decisions depend. */
    void passSoon() {
        passAt(context.nowMillis());
    }

    private void passAt(long atMillis) {
        long earliestMillis = Math.max(atMillis, lastPassMillis + MIN_PASS_INTERVAL_MILLIS);
        if (held.size() == 0 || earliestMillis >= nextPassMillis) {
            return;
        }
        nextPassMillis = earliestMillis;
        context.after(earliestMillis - context.nowMillis(), () -> passIfNext(earliestMillis));
    }

    private void passIfNext(long scheduledMillis) {
        if (scheduledMillis == nextPassMillis) {
            pass();
        }
    }

    private void pass() {
        long nowMillis = context.nowMillis();
        lastPassMillis = nowMillis;
        nextPassMillis = Long.MAX_VALUE;
        boolean closed = context.gate().isClosed();
        boolean leftOver =
                passes.run(
                        held,
                        nowMillis,
                        request -> {
                            request.decideHeldAgain();
                            return !held.contains(request);
                        });
        long latestMillis = nowMillis + MAX_PASS_INTERVAL_MILLIS;
        if (closed) {
            passAt(latestMillis);
        } else {
            passAt(leftOver ? nowMillis : Math.min(held.nextMillis(), latestMillis));
        }
    }

    /** Refuses all held requests, since this daemon is about to stop. */
    void refuseAll() {
        held.ids().forEach(ForwardedRequest::refuseWaiting);
    }
}
