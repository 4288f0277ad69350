package org.tamaracktrack.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.stream.Stream;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.TargetId;

/**
 * Chooses the target of a request: the one with the least expected time to the first piece of the
 * answer, with a preference for the own data centre, since bytes between data centres cost.
 */
public final class TargetChooser {
    /** What one request at a model engine adds to the time of the next, from its step time. */
    private static final double ENGINE_REQUEST_MILLIS = 4;

    /**
     * An engine with more of its slots taken than this gets more work than it ends: each prompt
     * that it reads holds up all answers, until streams outlast their time.
     */
    private static final double EFFICIENT_SHARE = 0.6;

    /** What each request beyond that adds. */
    private static final double CROWD_MILLIS = 20;

    /** What one request at a plain service adds: work of about 40 ms over 6 slots. */
    private static final double SERVICE_REQUEST_MILLIS = 7;

    /** How much sooner an engine elsewhere must be to be worth the bytes between data centres. */
    private static final double ENGINE_DISTANCE_MILLIS = 70;

    /** The same for plain services, whose answers are small. */
    private static final double SERVICE_DISTANCE_MILLIS = 20;

    /** A target that fails every request is as bad as one that takes this much longer. */
    private static final double FAILING_MILLIS = 4_000;

    /**
     * Targets whose cost differs by less are chosen about equally often. Daemons that know the same
     * of targets would all choose the same one otherwise.
     */
    private static final double ENGINE_SPREAD_MILLIS = 5;

    /** The same for plain services. */
    private static final double SERVICE_SPREAD_MILLIS = 1;

    /** Keeps the logarithm of a draw finite. */
    private static final double LEAST_DRAW = 1e-9;

    private final DataCentreId home;

    private TargetChooser(DataCentreId home) {
        this.home = home;
    }

    /**
     * Returns a chooser.
     *
     * @param home the daemon's data centre
     * @return the chooser
     */
    public static TargetChooser of(DataCentreId home) {
        Objects.requireNonNull(home, "home is null");
        return new TargetChooser(home);
    }

    /**
     * Chooses a target.
     *
     * @param work what is to be done
     * @param fleet the targets
     * @param loads what is known of each one's load
     * @param tried targets that have had this request, which are not chosen again
     * @param nowMillis the monotonic time
     * @param draws random numbers from 0 to 1, one for each candidate
     * @return the target; empty when none can take the request now
     */
    public Optional<Choice> choose(
            Work work,
            FleetSnapshot fleet,
            Function<TargetIncarnation, TargetLoad> loads,
            Collection<TargetId> tried,
            long nowMillis,
            DoubleSupplier draws) {
        Set<TargetId> excluded = Set.copyOf(tried);
        return candidates(work, fleet)
                .filter(entry -> !excluded.contains(entry.incarnation().target()))
                .filter(entry -> loads.apply(entry.incarnation()).reachable(nowMillis))
                .map(entry -> scored(work, entry, loads, nowMillis, draws.getAsDouble()))
                .min(Comparator.comparingDouble(Choice::cost));
    }

    /**
     * A target for a request.
     *
     * @param entry the target
     * @param firstPieceMillis the expected time to the first piece of its answer
     * @param cost what the targets were compared by, in milliseconds
     */
    public record Choice(TargetEntry entry, double firstPieceMillis, double cost) {}

    /**
     * Returns the targets that hold what a request needs.
     *
     * @param work the request
     * @param fleet the targets
     * @return those that are not leaving
     */
    public static Stream<TargetEntry> candidates(Work work, FleetSnapshot fleet) {
        return fleet.ready(work.service())
                .filter(entry -> work.need().map(entry::holds).orElse(true));
    }

    private Choice scored(
            Work work,
            TargetEntry entry,
            Function<TargetIncarnation, TargetLoad> loads,
            long nowMillis,
            double draw) {
        TargetLoad load = loads.apply(entry.incarnation());
        double busy =
                work.need().isPresent()
                        ? engineMillis(work, load, entry.slots(), nowMillis)
                        : load.outstanding(nowMillis) * SERVICE_REQUEST_MILLIS;
        double distance = entry.dataCentre().equals(home) ? 0 : distanceMillis(work);
        double failing = load.failureShare(nowMillis) * FAILING_MILLIS;
        double crowd = work.need().isPresent() ? crowdMillis(load, entry, nowMillis) : 0;
        double cost = busy + crowd + distance + failing;
        return new Choice(entry, busy, cost + spreadMillis(work) * noise(draw));
    }

    private static double spreadMillis(Work work) {
        return work.need().isPresent() ? ENGINE_SPREAD_MILLIS : SERVICE_SPREAD_MILLIS;
    }

    // With noise of this distribution the least cost is chosen with a probability that falls
    // exponentially with the cost, so a clearly worse target is hardly ever chosen.
    private static double noise(double draw) {
        double inside = Math.max(LEAST_DRAW, Math.min(1 - LEAST_DRAW, draw));
        return Math.log(-Math.log(inside));
    }

    private static double distanceMillis(Work work) {
        return work.need().isPresent() ? ENGINE_DISTANCE_MILLIS : SERVICE_DISTANCE_MILLIS;
    }

    // Prompts of daemons that are no peers are not known here; that they stall this daemon's
    // streams is. A prompt more would make all streams there late.
    private static double crowdMillis(TargetLoad load, TargetEntry entry, long nowMillis) {
        double crowd = Math.max(0, load.outstanding(nowMillis) - EFFICIENT_SHARE * entry.slots());
        return crowd * CROWD_MILLIS + load.stallMillis(nowMillis);
    }

    private static double engineMillis(Work work, TargetLoad load, int slots, long nowMillis) {
        int toRead = work.promptTokens() - load.keptTokens(scope(work), work.parts());
        double reading =
                (load.unreadTokens(nowMillis) + Math.max(0, toRead))
                        / load.tokensPerMilli(nowMillis);
        double queue = load.waiting() * load.answerMillis() / Math.max(1, slots);
        // Tokens and counts do not show an engine whose memory is full or that is slow; that it
        // makes others wait does.
        double seen = load.waiting() == 0 ? 0 : load.firstPieceMillis(nowMillis);
        return Math.max(reading + queue, seen)
                + load.outstanding(nowMillis) * ENGINE_REQUEST_MILLIS;
    }

    /**
     * Returns what the parts of a request's prompt are valid for.
     *
     * @param work the request
     * @return model and adapter
     */
    public static String scope(Work work) {
        return work.need().map(Object::toString).orElse("");
    }
}
