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
final class LoadBoard {
    private final Map<TargetIncarnation, TargetLoad> loads = new HashMap<>();

    private LoadBoard() {}

    static LoadBoard empty() {
        return new LoadBoard();
    }

    TargetLoad of(TargetIncarnation incarnation) {
        return loads.computeIfAbsent(incarnation, name -> new TargetLoad());
    }

    /** Returns what this daemon has at targets, without those at which it has nothing. */
    Map<TargetIncarnation, LoadShare> own() {
        return loads.entrySet().stream()
                .map(load -> Map.entry(load.getKey(), load.getValue().ownShare()))
                .filter(share -> !share.getValue().isEmpty())
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /** Forgets targets that are gone. */
    void keep(FleetSnapshot fleet) {
        Set<TargetIncarnation> known =
                fleet.all().map(TargetEntry::incarnation).collect(Collectors.toSet());
        loads.keySet().retainAll(known);
    }
}
