package org.tamaracktrack.daemon.gateway;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.dispatch.TargetRests;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;

/** The targets that have asked this daemon for a rest. Safe for use by any thread. */
final class RestingTargets {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.requests");

    private final TargetRests rests = TargetRests.empty();
    private final LongSupplier clock;
    private final DoubleSupplier draws;
    private final GatewayMetrics metrics;

    private RestingTargets(LongSupplier clock, DoubleSupplier draws, GatewayMetrics metrics) {
        this.clock = clock;
        this.draws = draws;
        this.metrics = metrics;
    }

    /**
     * Returns no resting targets.
     *
     * @param clock returns the monotonic time in milliseconds
     * @param draws returns random numbers from 0 to 1
     */
    static RestingTargets of(LongSupplier clock, DoubleSupplier draws, GatewayMetrics metrics) {
        return new RestingTargets(clock, draws, metrics);
    }

    /** Records that a target has asked for a rest. */
    synchronized void recordRest(TargetEntry target, long restMillis) {
        boolean begins =
                rests.recordRest(
                        target.incarnation(), restMillis, clock.getAsLong(), draws.getAsDouble());
        if (begins) {
            metrics.recordRest(target.service());
            LOG.info(
                    "event=target-rests target="
                            + target.incarnation()
                            + " service="
                            + target.service()
                            + " rest_ms="
                            + restMillis);
        }
    }

    /** Records the first byte of a request. */
    synchronized void recordSent(TargetEntry target) {
        rests.recordSent(target.incarnation(), clock.getAsLong());
    }

    /** Records an answer that asks for no rest. */
    synchronized void recordAnswer(TargetEntry target) {
        rests.recordAnswer(target.incarnation(), clock.getAsLong());
    }

    /** Returns whether a request may be sent to a target now. */
    synchronized boolean permits(TargetEntry target) {
        return rests.permits(target.incarnation(), clock.getAsLong());
    }

    /** Returns whether a target wants no request at all, not even a trial. */
    synchronized boolean isResting(TargetEntry target) {
        return rests.isResting(target.incarnation(), clock.getAsLong());
    }

    /**
     * Returns the shortest time until one of some targets takes a request, in milliseconds; empty
     * if there is no target or one takes a request now.
     */
    synchronized OptionalLong shortestRemainingMillis(Stream<TargetEntry> targets) {
        List<TargetIncarnation> incarnations =
                targets.map(TargetEntry::incarnation).collect(Collectors.toList());
        return rests.shortestRemainingMillis(incarnations, clock.getAsLong());
    }
}
