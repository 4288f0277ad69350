package org.tamaracktrack.daemon.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.tamaracktrack.core.dispatch.LoadShare;
import org.tamaracktrack.core.dispatch.RelayedReport;
import org.tamaracktrack.core.dispatch.TargetActivity;
import org.tamaracktrack.core.dispatch.TargetLoad;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.daemon.load.LoadExchange;

/** The load of each target as this daemon knows it. Owned by the traffic thread. */
final class TargetLoads implements LoadExchange.Loads {
    /**
     * Time since the last contact after which this daemon no longer states the work factor of a
     * target, because other daemons know it better.
     */
    private static final long CONTACT_VALIDITY_MILLIS = 10_000;

    private final Map<TargetIncarnation, TargetLoad> loads = new HashMap<>();
    private final LongSupplier nowMillis;

    private TargetLoads(LongSupplier nowMillis) {
        this.nowMillis = nowMillis;
    }

    /**
     * Returns loads without any request.
     *
     * @param nowMillis returns the monotonic time in milliseconds
     */
    static TargetLoads empty(LongSupplier nowMillis) {
        return new TargetLoads(nowMillis);
    }

    TargetLoad of(TargetIncarnation incarnation) {
        return loads.computeIfAbsent(incarnation, name -> new TargetLoad());
    }

    /**
     * Returns the latest time at which a target is known to have been running, by the monotonic
     * clock, in milliseconds.
     */
    long lastActiveMillis(TargetIncarnation incarnation) {
        TargetLoad load = loads.get(incarnation);
        return load == null ? TargetActivity.NEVER : load.lastActiveMillis();
    }

    @Override
    public Map<TargetIncarnation, LoadShare> ownShares() {
        return loads.entrySet().stream()
                .map(load -> Map.entry(load.getKey(), load.getValue().ownShare()))
                .filter(share -> !share.getValue().isEmpty())
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    @Override
    public List<RelayedReport> takeNewReports() {
        return loads.entrySet().stream()
                .flatMap(
                        load ->
                                load
                                        .getValue()
                                        .takeNewReport(load.getKey(), nowMillis.getAsLong())
                                        .stream())
                .collect(Collectors.toList());
    }

    @Override
    public void recordPeerShare(TargetIncarnation target, LoadShare share) {
        of(target).recordPeerShare(share, nowMillis.getAsLong());
    }

    @Override
    public void recordPeerReport(RelayedReport report) {
        of(report.target())
                .recordRelayedReport(report.load(), report.ageMillis(), nowMillis.getAsLong());
    }

    /** Returns the number of requests of this daemon at all targets. */
    int ownOutstanding() {
        return loads.values().stream().mapToInt(load -> load.ownShare().outstanding()).sum();
    }

    /**
     * Returns the long-run mean of the work factor of each target that reports it and has recently
     * sent this daemon anything.
     */
    Map<TargetIncarnation, Double> workFactors() {
        long now = nowMillis.getAsLong();
        return loads.entrySet().stream()
                .filter(load -> load.getValue().reportsWorkTime())
                .filter(load -> load.getValue().millisSinceContact(now) <= CONTACT_VALIDITY_MILLIS)
                .collect(
                        Collectors.toUnmodifiableMap(
                                Map.Entry::getKey, load -> load.getValue().meanWorkFactor(now)));
    }

    /** Removes targets that are no longer in the fleet. */
    void retainTargets(FleetSnapshot fleet) {
        Set<TargetIncarnation> known =
                fleet.all().map(TargetEntry::incarnation).collect(Collectors.toSet());
        loads.keySet().retainAll(known);
    }
}
