package org.tamaracktrack.core.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.tamaracktrack.core.log.LogEntry.Placement;

/**
 * Copies that a target neither has nor loads although they have long been planned.
 *
 * <p>The planner counts memory by target; on the target the free memory may be split so that no
 * accelerator has room. The plan would wait for such a copy for good and its model be served
 * nowhere, so the place is avoided for a while and the model gets another one.
 */
final class StuckCopies {
    private static final long PATIENCE_MILLIS = 120_000;
    private static final long AVOID_MILLIS = 600_000;

    private final Map<Layout.Place, Long> absentSince = new HashMap<>();
    private final Map<Layout.Place, Long> avoidedUntil = new HashMap<>();

    private StuckCopies() {}

    static StuckCopies none() {
        return new StuckCopies();
    }

    /** Returns the places to avoid now. */
    Set<Layout.Place> observe(Collection<Placement> planned, PlanningView view) {
        Set<Layout.Place> absent =
                planned.stream()
                        .filter(copy -> absent(copy, view))
                        .map(copy -> new Layout.Place(copy.model(), copy.target()))
                        .collect(Collectors.toSet());
        absentSince.keySet().retainAll(absent);
        absent.forEach(place -> absentSince.putIfAbsent(place, view.nowMillis()));
        absentSince.forEach((place, since) -> avoidIfLong(place, since, view.nowMillis()));
        avoidedUntil.values().removeIf(until -> until <= view.nowMillis());
        return Set.copyOf(avoidedUntil.keySet());
    }

    private void avoidIfLong(Layout.Place place, long sinceMillis, long nowMillis) {
        if (nowMillis - sinceMillis >= PATIENCE_MILLIS) {
            avoidedUntil.putIfAbsent(place, nowMillis + AVOID_MILLIS);
        }
    }

    private static boolean absent(Placement copy, PlanningView view) {
        TargetStatus status = view.targets().get(copy.target());
        return view.usable(copy.target())
                && !status.resident().contains(copy.model())
                && !status.loading().contains(copy.model());
    }
}
