package org.tamaracktrack.core.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.tamaracktrack.core.log.LogEntry.Placement;

/**
 * Detects planned copies that a target has neither in memory nor loading for a long time.
 *
 * <p>Free memory on a target may be fragmented so that no accelerator has room for a copy that the
 * planner expects to fit. Without detection the plan would keep such a copy indefinitely and its
 * model would not be served, so the target is excluded for the model for some time and the model is
 * planned elsewhere.
 */
final class StuckCopies {
    private static final long STUCK_AFTER_MILLIS = 120_000;
    private static final long EXCLUSION_MILLIS = 600_000;

    private final Map<Layout.ModelOnTarget, Long> absentSince = new HashMap<>();
    private final Map<Layout.ModelOnTarget, Long> excludedUntil = new HashMap<>();

    private StuckCopies() {}

    static StuckCopies empty() {
        return new StuckCopies();
    }

    /** Updates the state from the plan in force and returns the exclusions in force now. */
    Set<Layout.ModelOnTarget> observe(Collection<Placement> planned, PlanningView view) {
        Set<Layout.ModelOnTarget> absent =
                planned.stream()
                        .filter(copy -> isAbsent(copy, view))
                        .map(copy -> new Layout.ModelOnTarget(copy.model(), copy.target()))
                        .collect(Collectors.toSet());
        absentSince.keySet().retainAll(absent);
        absent.forEach(copy -> absentSince.putIfAbsent(copy, view.nowMillis()));
        absentSince.forEach((copy, since) -> excludeIfStuck(copy, since, view.nowMillis()));
        excludedUntil.values().removeIf(until -> until <= view.nowMillis());
        return Set.copyOf(excludedUntil.keySet());
    }

    private void excludeIfStuck(Layout.ModelOnTarget copy, long sinceMillis, long nowMillis) {
        if (nowMillis - sinceMillis >= STUCK_AFTER_MILLIS) {
            excludedUntil.putIfAbsent(copy, nowMillis + EXCLUSION_MILLIS);
        }
    }

    private static boolean isAbsent(Placement copy, PlanningView view) {
        TargetStatus status = view.targets().get(copy.target());
        return view.usable(copy.target())
                && !status.resident().contains(copy.model())
                && !status.loading().contains(copy.model());
    }
}
