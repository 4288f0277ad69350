package org.tamaracktrack.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.TargetId;

/**
 * Selects the target of a request: the one with the shortest expected time to the first piece of
 * the answer, with a preference for the data centre of the daemon, since traffic between data
 * centres is expensive.
 */
public final class TargetSelector {
    /**
     * Time that one request at a model engine adds for the next, derived from the step time of the
     * engine.
     */
    private static final double ENGINE_REQUEST_MILLIS = 4;

    /**
     * Share of the slots of an engine up to which it keeps up with its requests. Beyond it, each
     * prompt delays all running streams, until they exceed their time limit.
     */
    private static final double EFFICIENT_SLOT_SHARE = 0.6;

    /** Cost of each request beyond the efficient share of slots. */
    private static final double CROWDING_REQUEST_MILLIS = 20;

    /** Time that one request at a plain service adds: its processing time, shared by the slots. */
    private static final double SERVICE_REQUEST_MILLIS = 7;

    /**
     * Time by which an engine in another data centre must be faster to justify the traffic between
     * data centres.
     */
    private static final double ENGINE_DISTANCE_MILLIS = 70;

    /**
     * Counterpart of {@link #ENGINE_DISTANCE_MILLIS} for plain services, whose answers are small.
     */
    private static final double SERVICE_DISTANCE_MILLIS = 20;

    /** Cost of a target that fails all requests. */
    private static final double FAILURE_PENALTY_MILLIS = 4_000;

    /** Cost of a target that may have ended; above that of any other. */
    private static final double SILENCE_PENALTY_MILLIS = 60_000;

    /**
     * Scale of the random noise: targets whose cost differs by less are selected about equally
     * often. Without noise, daemons with the same information would all select the same target.
     */
    private static final double ENGINE_SPREAD_MILLIS = 5;

    /** Counterpart of {@link #ENGINE_SPREAD_MILLIS} for plain services. */
    private static final double SERVICE_SPREAD_MILLIS = 1;

    /** Noise relative to the expected wait at targets that report how long work takes. */
    private static final double REPORTED_SPREAD_RATIO = 0.1;

    /** Lower bound of a random draw, which keeps its logarithm finite. */
    private static final double MIN_DRAW = 1e-9;

    private final DataCentreId ownDataCentre;

    private TargetSelector(DataCentreId ownDataCentre) {
        this.ownDataCentre = ownDataCentre;
    }

    /**
     * Returns a selector.
     *
     * @param ownDataCentre the data centre of the daemon
     * @return the selector
     */
    public static TargetSelector of(DataCentreId ownDataCentre) {
        Objects.requireNonNull(ownDataCentre, "home is null");
        return new TargetSelector(ownDataCentre);
    }

    /**
     * Selects a target.
     *
     * @param request the request
     * @param fleet the targets
     * @param loads returns the known load of a target
     * @param tried targets that received this request before, which are not selected again
     * @param nowMillis the monotonic time in milliseconds
     * @param draws supplies a random number from 0 to 1 for each candidate
     * @return the selection; empty when no target can take the request now
     */
    public Optional<Selection> select(
            DispatchRequest request,
            FleetSnapshot fleet,
            Function<TargetIncarnation, TargetLoad> loads,
            Collection<TargetId> tried,
            long nowMillis,
            DoubleSupplier draws) {
        return select(request, fleet, loads, tried, entry -> Integer.MAX_VALUE, nowMillis, draws);
    }

    /**
     * Selects a target at which this daemon has fewer requests than a maximum.
     *
     * @param request the request
     * @param fleet the targets
     * @param loads returns the known load of a target
     * @param tried targets that received this request before, which are not selected again
     * @param maximumOwnRequests returns the maximum number of requests of this daemon at a target
     * @param nowMillis the monotonic time in milliseconds
     * @param draws supplies a random number from 0 to 1 for each candidate
     * @return the selection; empty when no target can take the request now
     */
    public Optional<Selection> select(
            DispatchRequest request,
            FleetSnapshot fleet,
            Function<TargetIncarnation, TargetLoad> loads,
            Collection<TargetId> tried,
            ToIntFunction<TargetEntry> maximumOwnRequests,
            long nowMillis,
            DoubleSupplier draws) {
        Set<TargetId> excluded = Set.copyOf(tried);
        return candidates(request, fleet)
                .filter(entry -> !excluded.contains(entry.incarnation().target()))
                .filter(entry -> loads.apply(entry.incarnation()).isReachable(nowMillis))
                .filter(
                        entry ->
                                loads.apply(entry.incarnation()).ownShare().outstanding()
                                        < maximumOwnRequests.applyAsInt(entry))
                .map(entry -> score(request, entry, loads, nowMillis, draws.getAsDouble()))
                .min(Comparator.comparingDouble(Selection::cost));
    }

    /**
     * The target selected for a request.
     *
     * @param entry the target
     * @param firstPieceMillis the expected time to the first piece of its answer, in milliseconds
     * @param cost the cost by which the targets were compared, in milliseconds
     */
    public record Selection(TargetEntry entry, double firstPieceMillis, double cost) {}

    /**
     * Returns the targets that hold the model which a request needs.
     *
     * @param request the request
     * @param fleet the targets
     * @return the candidates, without targets that are leaving or run a software version that does
     *     not fit to the stream
     */
    public static Stream<TargetEntry> candidates(DispatchRequest request, FleetSnapshot fleet) {
        return fleet.ready(request.service())
                .filter(request::fitsVersionOf)
                .filter(entry -> request.need().map(entry::holds).orElse(true));
    }

    /**
     * Returns whether a target keeps up with its requests: nothing waits, and it has no prompt to
     * process.
     *
     * @param load the known load of the target
     * @param slots the number of requests that it runs at the same time
     * @param nowMillis the monotonic time in milliseconds
     * @return whether a further request is served at once
     */
    public static boolean isUnqueued(TargetLoad load, int slots, long nowMillis) {
        return load.waiting() == 0
                && load.pendingPromptTokens(nowMillis) == 0
                && load.outstanding(nowMillis) <= EFFICIENT_SLOT_SHARE * slots;
    }

    private Selection score(
            DispatchRequest request,
            TargetEntry entry,
            Function<TargetIncarnation, TargetLoad> loads,
            long nowMillis,
            double draw) {
        TargetLoad load = loads.apply(entry.incarnation());
        double firstPieceMillis =
                request.need().isPresent()
                        ? engineMillis(request, load, entry.slots(), nowMillis)
                        : serviceMillis(load, entry.slots(), nowMillis);
        double distance = entry.dataCentre().equals(ownDataCentre) ? 0 : distanceMillis(request);
        double failurePenalty = load.failureShare(nowMillis) * FAILURE_PENALTY_MILLIS;
        double crowding = request.need().isPresent() ? crowdingMillis(load, entry, nowMillis) : 0;
        double silencePenalty = load.isSilent(nowMillis) ? SILENCE_PENALTY_MILLIS : 0;
        double cost = firstPieceMillis + crowding + distance + failurePenalty + silencePenalty;
        return new Selection(
                entry,
                firstPieceMillis,
                cost + spreadMillis(request, load, firstPieceMillis) * gumbelNoise(draw));
    }

    // Daemons hear of a target that has become fast at the same moment, so the noise grows with the
    // differences that reported work times cause.
    private static double spreadMillis(
            DispatchRequest request, TargetLoad load, double firstPieceMillis) {
        double spread = request.need().isPresent() ? ENGINE_SPREAD_MILLIS : SERVICE_SPREAD_MILLIS;
        return load.reportsWorkTime()
                ? Math.max(spread, REPORTED_SPREAD_RATIO * firstPieceMillis)
                : spread;
    }

    private static double serviceMillis(TargetLoad load, int slots, long nowMillis) {
        int outstanding = load.outstanding(nowMillis);
        if (!load.reportsWorkTime()) {
            return outstanding * SERVICE_REQUEST_MILLIS;
        }
        // Slots take turns in becoming free, so each request in a slot costs a part of its work.
        double workMillis = load.workMillis(nowMillis);
        double usedSlots = outstanding / (double) Math.max(1, slots);
        return workMillis * (1 + usedSlots);
    }

    // With Gumbel-distributed noise, the probability that a target is selected falls exponentially
    // with its cost, so a clearly worse target is hardly ever selected.
    private static double gumbelNoise(double draw) {
        double clamped = Math.max(MIN_DRAW, Math.min(1 - MIN_DRAW, draw));
        return Math.log(-Math.log(clamped));
    }

    private static double distanceMillis(DispatchRequest request) {
        return request.need().isPresent() ? ENGINE_DISTANCE_MILLIS : SERVICE_DISTANCE_MILLIS;
    }

    // Prompts of daemons that are not peers are unknown here, but they stall the streams of this
    // daemon at the engine. A further prompt would delay all of them.
    private static double crowdingMillis(TargetLoad load, TargetEntry entry, long nowMillis) {
        double excessRequests =
                Math.max(0, load.outstanding(nowMillis) - EFFICIENT_SLOT_SHARE * entry.slots());
        return excessRequests * CROWDING_REQUEST_MILLIS * load.workFactor(nowMillis)
                + load.stallMillis(nowMillis);
    }

    private static double engineMillis(
            DispatchRequest request, TargetLoad load, int slots, long nowMillis) {
        int uncachedTokens =
                request.promptTokens() - load.cachedTokens(cacheScope(request), request.parts());
        double promptMillis =
                (load.pendingPromptTokens(nowMillis) + Math.max(0, uncachedTokens))
                        / load.tokensPerMilli(nowMillis);
        double queueMillis = load.waiting() * load.answerMillis() / Math.max(1, slots);
        // Token and request counts do not reveal an engine that is slow or whose memory is full,
        // but the observed waiting times do.
        double observedMillis = load.waiting() == 0 ? 0 : load.firstPieceMillis(nowMillis);
        return Math.max(promptMillis + queueMillis, observedMillis)
                + load.outstanding(nowMillis) * ENGINE_REQUEST_MILLIS * load.workFactor(nowMillis);
    }

    /**
     * Returns the scope in which cached parts of the prompt of a request are valid.
     *
     * @param request the request
     * @return model and adapter; empty for a plain service
     */
    public static String cacheScope(DispatchRequest request) {
        return request.need().map(Object::toString).orElse("");
    }
}
