package org.tamaracktrack.daemon.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.tamaracktrack.core.dispatch.LoadShare;
import org.tamaracktrack.core.dispatch.TargetLoad;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.fleet.TargetIncarnation;

/** The load of each target as this daemon knows it. Owned by the traffic thread. */
final class TargetLoads {
    private final Map<TargetIncarnation, TargetLoad> loads = new HashMap<>();

    private TargetLoads() {}

    static TargetLoads empty() {
        return new TargetLoads();
    }

    TargetLoad of(TargetIncarnation incarnation) {
        return loads.computeIfAbsent(incarnation, name -> new TargetLoad());
    }

    /** Returns the load of this daemon at each target, without targets at which it has none. */
    Map<TargetIncarnation, LoadShare> ownShares() {
        return loads.entrySet().stream()
                .map(load -> Map.entry(load.getKey(), load.getValue().ownShare()))
                .filter(share -> !share.getValue().isEmpty())
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /** Returns the number of requests of this daemon at all targets. */
    int ownOutstanding() {
        return loads.values().stream().mapToInt(load -> load.ownShare().outstanding()).sum();
    }

    /** Removes targets that are no longer in the fleet. */
    void retainTargets(FleetSnapshot fleet) {
        Set<TargetIncarnation> known =
                fleet.all().map(TargetEntry::incarnation).collect(Collectors.toSet());
        loads.keySet().retainAll(known);
    }
}
