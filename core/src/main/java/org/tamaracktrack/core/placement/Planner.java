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
 * Goes from the plan in force towards the layout that the policy wants, in steps that are safe
 * whatever becomes of each: first add, then wait until the copy is seen ready, then drop.
 */
public final class Planner {
    /** A target that restarts is back within this time, and its copies are worth waiting for. */
    public static final long DEFAULT_LOSS_GRACE_MILLIS = 15_000;

    private final PlacementPolicy policy;
    private final long lossGraceMillis;
    private final LoadPacer pacer = LoadPacer.full();
    private final StuckCopies stuck = StuckCopies.none();
    private final Map<TargetId, Long> unreachableSince = new HashMap<>();

    private Planner(PlacementPolicy policy, long lossGraceMillis) {
        this.policy = policy;
        this.lossGraceMillis = lossGraceMillis;
    }

    /**
     * Returns a planner.
     *
     * @param policy decides which copies are wanted
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
     * @param view what is known
     * @return the copies of the next plan; equal to those in force when nothing is to change
     * @throws TamaracktrackException with {@code INVARIANT_BREACH} when the next plan would not fit
     *     or would leave a model without a copy; the plan in force is then to be kept
     */
    public List<Placement> next(Collection<Placement> inForce, PlanningView view) {
        Objects.requireNonNull(view, "view is null");
        pacer.refill(view.configuration().weightStore(), view.nowMillis());
        Set<TargetId> gone = gone(inForce, view);
        Layout kept = kept(inForce, gone, view);
        stuck.observe(kept.placements(), view).forEach(kept::avoid);
        Layout wanted = wanted(kept, view);
        Set<ModelId> orphaned = orphaned(inForce, gone, kept);
        Layout next = kept.copy();
        drop(next, wanted, view);
        add(next, wanted, orphaned, view);
        check(kept, wanted, next, view);
        return next.placements();
    }

    private Set<TargetId> gone(Collection<Placement> inForce, PlanningView view) {
        Set<TargetId> planned = inForce.stream().map(Placement::target).collect(Collectors.toSet());
        Set<TargetId> unreachable =
                planned.stream()
                        .filter(target -> !reachable(target, view))
                        .collect(Collectors.toSet());
        unreachableSince.keySet().retainAll(unreachable);
        unreachable.forEach(target -> unreachableSince.putIfAbsent(target, view.nowMillis()));
        return planned.stream().filter(target -> gone(target, view)).collect(Collectors.toSet());
    }

    private static boolean reachable(TargetId target, PlanningView view) {
        TargetStatus status = view.targets().get(target);
        return status != null && status.reachable();
    }

    private boolean gone(TargetId target, PlanningView view) {
        Long since = unreachableSince.get(target);
        boolean lost = since != null && view.nowMillis() - since >= lossGraceMillis;
        return lost || !view.configuration().targets().containsKey(target);
    }

    private static Layout kept(
            Collection<Placement> inForce, Set<TargetId> gone, PlanningView view) {
        Configuration configuration = view.configuration();
        List<Placement> still =
                inForce.stream()
                        .filter(copy -> !gone.contains(copy.target()))
                        .filter(copy -> configuration.models().containsKey(copy.model()))
                        .map(copy -> withConfiguredAdapters(copy, configuration))
                        .toList();
        Layout layout = Layout.of(configuration, still);
        still.stream().map(Placement::target).distinct().forEach(one -> shrink(layout, one));
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

    // A configuration may make models larger or accelerators smaller, and the plan in force then no
    // longer fits. Copies that the model has elsewhere go first.
    private static void shrink(Layout layout, TargetId target) {
        List<Placement> order =
                layout.on(target).stream()
                        .sorted(
                                Comparator.comparingInt(
                                        (Placement copy) -> -layout.copies(copy.model())))
                        .toList();
        for (Placement copy : order) {
            if (layout.fits(target)) {
                return;
            }
            layout.remove(copy.model(), target);
        }
    }

    private Layout wanted(Layout kept, PlanningView view) {
        Layout wanted = kept.copy();
        kept.placements().stream()
                .filter(
                        copy ->
                                leaving(copy.target(), view)
                                        || kept.avoids(copy.model(), copy.target()))
                .forEach(copy -> wanted.remove(copy.model(), copy.target()));
        policy.improve(wanted, view);
        return wanted;
    }

    private static boolean leaving(TargetId target, PlanningView view) {
        TargetStatus status = view.targets().get(target);
        return status != null && status.leaving();
    }

    private static Set<ModelId> orphaned(
            Collection<Placement> inForce, Set<TargetId> gone, Layout kept) {
        return inForce.stream()
                .filter(copy -> gone.contains(copy.target()))
                .map(Placement::model)
                .filter(model -> kept.copies(model) == 0)
                .collect(Collectors.toSet());
    }

    // A planned copy is not yet a loaded one: its load may fail or take minutes. Dropping the other
    // copy before this one was seen ready would leave callers without the model meanwhile.
    private static void drop(Layout next, Layout wanted, PlanningView view) {
        next.placements().stream()
                .filter(copy -> wanted.get(copy.model(), copy.target()).isEmpty())
                .filter(
                        copy ->
                                wanted.shares(copy.model())
                                        || readyElsewhere(copy, next, wanted, view))
                .forEach(copy -> next.remove(copy.model(), copy.target()));
    }

    private static boolean readyElsewhere(
            Placement copy, Layout next, Layout wanted, PlanningView view) {
        return next.homes(copy.model()).stream()
                .filter(target -> !target.equals(copy.target()))
                .filter(target -> wanted.get(copy.model(), target).isPresent())
                .anyMatch(target -> view.ready(copy.model(), target));
    }

    private void add(Layout next, Layout wanted, Set<ModelId> orphaned, PlanningView view) {
        List<Placement> additions =
                wanted.placements().stream()
                        .filter(copy -> !sameCopy(next, copy))
                        .sorted(
                                Comparator.comparing(
                                                (Placement copy) -> next.copies(copy.model()) > 0)
                                        .thenComparingDouble(
                                                copy -> -view.demand(copy.model()).slots()))
                        .toList();
        for (Placement copy : additions) {
            if (!next.fits(copy)) {
                continue;
            }
            if (!pacer.take(loads(next, copy, view), view.configuration().weightStore())) {
                return;
            }
            next.put(orphaned.contains(copy.model()) ? recovered(copy) : copy);
        }
    }

    private static boolean sameCopy(Layout next, Placement copy) {
        return next.get(copy.model(), copy.target())
                .filter(planned -> planned.adapters().equals(copy.adapters()))
                .isPresent();
    }

    private static Placement recovered(Placement copy) {
        return new Placement(
                copy.model(), copy.target(), copy.adapters(), MoveCause.RECOVERY.text());
    }

    private static int loads(Layout next, Placement copy, PlanningView view) {
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

    // Asserted on every plan: an overcommitted plan would have targets unload what they serve from,
    // and a plan without a model's last ready copy would make the model unreachable.
    private static void check(Layout kept, Layout wanted, Layout next, PlanningView view) {
        next.placements().stream()
                .map(Placement::target)
                .distinct()
                .filter(target -> !next.fits(target))
                .forEach(target -> breach("the plan for " + target + " does not fit"));
        kept.placements().stream()
                .map(Placement::model)
                .distinct()
                .filter(model -> !wanted.shares(model))
                .filter(model -> next.copies(model) == 0 || lostLastReady(model, kept, next, view))
                .forEach(model -> breach("the plan drops the last copy of " + model));
    }

    private static boolean lostLastReady(
            ModelId model, Layout kept, Layout next, PlanningView view) {
        return kept.homes(model).stream().anyMatch(target -> view.ready(model, target))
                && next.homes(model).stream().noneMatch(target -> view.ready(model, target));
    }

    private static void breach(String message) {
        throw TamaracktrackException.of(ErrorCode.INVARIANT_BREACH, message);
    }
}
