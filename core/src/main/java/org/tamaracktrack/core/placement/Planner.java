package org.tamaracktrack.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry.Placement;
import org.tamaracktrack.core.report.MoveCause;

/**
 * Computes successive plans that lead from the plan in force to the layout that the policy wants.
 * Each step is safe even if the targets carry it out late or not at all: a copy is added first, and
 * the copy that it replaces is removed only after the new one has been reported ready.
 */
public final class Planner {
    /** Longer than a restart of a target takes, so that its copies are not planned elsewhere. */
    public static final long DEFAULT_LOSS_GRACE_MILLIS = 15_000;

    private final PlacementPolicy policy;
    private final long lossGraceMillis;
    private final PlanLoadRateLimiter loadRateLimiter = PlanLoadRateLimiter.full();
    private final StuckCopies stuckCopies = StuckCopies.empty();
    private final Map<TargetId, Long> unreachableSince = new HashMap<>();

    private Planner(PlacementPolicy policy, long lossGraceMillis) {
        this.policy = policy;
        this.lossGraceMillis = lossGraceMillis;
    }

    /**
     * Returns a planner.
     *
     * @param policy the policy that decides which copies are wanted
     * @param lossGraceMillis how long a target may be unreachable before its copies are planned
     *     elsewhere
     * @return the planner
     */
    public static Planner of(PlacementPolicy policy, long lossGraceMillis) {
        Objects.requireNonNull(policy, "policy is null");
        return new Planner(policy, lossGraceMillis);
    }

    /**
     * Returns the next plan.
     *
     * @param inForce the copies of the plan in force
     * @param view the configuration, target states and demand to plan from
     * @return the copies of the next plan; equal to those in force if no change is needed
     * @throws TamaracktrackException with {@code INVARIANT_BREACH} if the next plan would not fit
     *     in memory or would leave a model without a copy; the caller must then keep the plan in
     *     force
     */
    public List<Placement> next(Collection<Placement> inForce, PlanningView view) {
        Objects.requireNonNull(view, "view is null");
        loadRateLimiter.refill(view.configuration().weightStore(), view.nowMillis());
        Set<TargetId> lost = lostTargets(inForce, view);
        Layout remaining = remaining(inForce, lost, view);
        stuckCopies.observe(remaining.placements(), view).forEach(remaining::exclude);
        Layout wanted = wanted(remaining, view);
        Set<ModelId> withoutCopy = modelsWithoutCopy(inForce, lost, remaining);
        Layout next = remaining.copy();
        removeReplaced(next, wanted, view);
        add(next, wanted, withoutCopy, view);
        check(remaining, wanted, next, view);
        return next.placements();
    }

    private Set<TargetId> lostTargets(Collection<Placement> inForce, PlanningView view) {
        Set<TargetId> planned = inForce.stream().map(Placement::target).collect(Collectors.toSet());
        Set<TargetId> unreachable =
                planned.stream()
                        .filter(target -> !isReachable(target, view))
                        .collect(Collectors.toSet());
        unreachableSince.keySet().retainAll(unreachable);
        unreachable.forEach(target -> unreachableSince.putIfAbsent(target, view.nowMillis()));
        return planned.stream().filter(target -> isLost(target, view)).collect(Collectors.toSet());
    }

    private static boolean isReachable(TargetId target, PlanningView view) {
        TargetStatus status = view.targets().get(target);
        return status != null && status.reachable();
    }

    private boolean isLost(TargetId target, PlanningView view) {
        Long since = unreachableSince.get(target);
        boolean unreachableTooLong = since != null && view.nowMillis() - since >= lossGraceMillis;
        return unreachableTooLong || !view.configuration().targets().containsKey(target);
    }

    private static Layout remaining(
            Collection<Placement> inForce, Set<TargetId> lost, PlanningView view) {
        Configuration configuration = view.configuration();
        List<Placement> copies =
                inForce.stream()
                        .filter(copy -> !lost.contains(copy.target()))
                        .filter(copy -> configuration.models().containsKey(copy.model()))
                        .map(copy -> withConfiguredAdapters(copy, configuration))
                        .toList();
        Layout layout = Layout.of(configuration, copies);
        copies.stream()
                .map(Placement::target)
                .distinct()
                .forEach(target -> removeUntilFits(layout, target));
        return layout;
    }

    private static Placement withConfiguredAdapters(Placement copy, Configuration configuration) {
        return new Placement(
                copy.model(),
                copy.target(),
                copy.adapters().stream()
                        .filter(adapter -> isAdapterOf(copy.model(), adapter, configuration))
                        .toList(),
                copy.cause());
    }

    private static boolean isAdapterOf(
            ModelId model, AdapterId adapter, Configuration configuration) {
        Configuration.Adapter configured = configuration.adapters().get(adapter);
        return configured != null && configured.base().equals(model);
    }

    // A new configuration may make models larger or accelerators smaller, so that the plan in force
    // no longer fits. Copies of models with the most other copies are removed first.
    private static void removeUntilFits(Layout layout, TargetId target) {
        List<Placement> mostCopiesFirst =
                layout.copiesOn(target).stream()
                        .sorted(
                                Comparator.comparingInt(
                                        (Placement copy) -> -layout.copyCount(copy.model())))
                        .toList();
        for (Placement copy : mostCopiesFirst) {
            if (layout.fits(target)) {
                return;
            }
            layout.remove(copy.model(), target);
        }
    }

    private Layout wanted(Layout remaining, PlanningView view) {
        Layout wanted = remaining.copy();
        remaining.placements().stream()
                .filter(
                        copy ->
                                isLeaving(copy.target(), view)
                                        || remaining.isExcluded(copy.model(), copy.target()))
                .forEach(copy -> wanted.remove(copy.model(), copy.target()));
        policy.improve(wanted, view);
        return wanted;
    }

    private static boolean isLeaving(TargetId target, PlanningView view) {
        TargetStatus status = view.targets().get(target);
        return status != null && status.leaving();
    }

    private static Set<ModelId> modelsWithoutCopy(
            Collection<Placement> inForce, Set<TargetId> lost, Layout remaining) {
        return inForce.stream()
                .filter(copy -> lost.contains(copy.target()))
                .map(Placement::model)
                .filter(model -> remaining.copyCount(model) == 0)
                .collect(Collectors.toSet());
    }

    // A planned copy is not loaded yet: its load may fail or take minutes. Removing the other copy
    // before this one is reported ready would leave the model unserved meanwhile.
    private static void removeReplaced(Layout next, Layout wanted, PlanningView view) {
        next.placements().stream()
                .filter(copy -> wanted.get(copy.model(), copy.target()).isEmpty())
                .filter(
                        copy ->
                                wanted.isLoadedOnDemand(copy.model())
                                        || isReadyElsewhere(copy, next, wanted, view))
                .forEach(copy -> next.remove(copy.model(), copy.target()));
    }

    private static boolean isReadyElsewhere(
            Placement copy, Layout next, Layout wanted, PlanningView view) {
        return next.targetsOf(copy.model()).stream()
                .filter(target -> !target.equals(copy.target()))
                .filter(target -> wanted.get(copy.model(), target).isPresent())
                .anyMatch(target -> view.ready(copy.model(), target));
    }

    private void add(Layout next, Layout wanted, Set<ModelId> withoutCopy, PlanningView view) {
        List<Placement> additions =
                wanted.placements().stream()
                        .filter(copy -> !isPlanned(next, copy))
                        .sorted(
                                Comparator.comparing(
                                                (Placement copy) ->
                                                        next.copyCount(copy.model()) > 0)
                                        .thenComparingDouble(
                                                copy -> -view.demand(copy.model()).slots()))
                        .toList();
        for (Placement copy : additions) {
            if (!next.fits(copy)) {
                continue;
            }
            if (!loadRateLimiter.tryAcquire(
                    loadCount(next, copy, view), view.configuration().weightStore())) {
                return;
            }
            next.put(withoutCopy.contains(copy.model()) ? withRecoveryCause(copy) : copy);
        }
    }

    private static boolean isPlanned(Layout next, Placement copy) {
        return next.get(copy.model(), copy.target())
                .filter(planned -> planned.adapters().equals(copy.adapters()))
                .isPresent();
    }

    private static Placement withRecoveryCause(Placement copy) {
        return new Placement(
                copy.model(), copy.target(), copy.adapters(), MoveCause.RECOVERY.text());
    }

    private static int loadCount(Layout next, Placement copy, PlanningView view) {
        TargetStatus status = view.targets().get(copy.target());
        boolean planned = next.get(copy.model(), copy.target()).isPresent();
        boolean resident =
                status != null
                        && (status.resident().contains(copy.model())
                                || status.loading().contains(copy.model()));
        List<AdapterId> missing = new ArrayList<>(copy.adapters());
        next.get(copy.model(), copy.target()).ifPresent(old -> missing.removeAll(old.adapters()));
        if (status != null) {
            missing.removeAll(status.adapters());
        }
        return (planned || resident ? 0 : 1) + missing.size();
    }

    // Checked for every plan: with an overcommitted plan, targets would unload models that are in
    // use, and a plan without the last ready copy of a model would make the model unavailable.
    private static void check(Layout remaining, Layout wanted, Layout next, PlanningView view) {
        next.placements().stream()
                .map(Placement::target)
                .distinct()
                .filter(target -> !next.fits(target))
                .forEach(
                        target -> breach("the plan for " + target + " does not fit in its memory"));
        remaining.placements().stream()
                .map(Placement::model)
                .distinct()
                .filter(model -> !wanted.isLoadedOnDemand(model))
                .filter(
                        model ->
                                next.copyCount(model) == 0
                                        || losesLastReadyCopy(model, remaining, next, view))
                .forEach(model -> breach("the plan removes the last copy of " + model));
    }

    private static boolean losesLastReadyCopy(
            ModelId model, Layout remaining, Layout next, PlanningView view) {
        return remaining.targetsOf(model).stream().anyMatch(target -> view.ready(model, target))
                && next.targetsOf(model).stream().noneMatch(target -> view.ready(model, target));
    }

    private static void breach(String message) {
        throw TamaracktrackException.of(ErrorCode.INVARIANT_BREACH, message);
    }
}
