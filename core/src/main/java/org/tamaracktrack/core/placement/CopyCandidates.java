package org.tamaracktrack.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry.Placement;
import org.tamaracktrack.core.report.MoveCause;

/** Finds targets on which an additional copy of a model can be placed. */
final class CopyCandidates {
    private CopyCandidates() {}

    /**
     * Returns the additional copies that fit, ordered by separation from the model's other copies.
     *
     * @param layout the layout
     * @param view the configuration, target states and demand to plan from
     * @param model the model
     * @return the candidate copies; not yet in the layout
     */
    static List<Placement> fittingCopies(Layout layout, PlanningView view, ModelId model) {
        return targetsBySeparation(layout, view, model).stream()
                .map(target -> layout.copyWithAllAdapters(model, target, MoveCause.DEMAND))
                .filter(layout::fits)
                .toList();
    }

    /**
     * Returns the usable targets without a copy of a model: first those in a data centre without a
     * copy, then those on a host without a copy, so that one failure doesn't remove all copies.
     *
     * @param layout the layout
     * @param view the configuration, target states and demand to plan from
     * @param model the model
     * @return the targets, best separated first
     */
    static List<TargetId> targetsBySeparation(Layout layout, PlanningView view, ModelId model) {
        List<Configuration.Target> holders =
                layout.targetsOf(model).stream()
                        .map(view.configuration().targets()::get)
                        .filter(Objects::nonNull)
                        .toList();
        Set<DataCentreId> dataCentres =
                holders.stream().map(Configuration.Target::dataCentre).collect(Collectors.toSet());
        Set<HostId> hosts =
                holders.stream().map(Configuration.Target::host).collect(Collectors.toSet());
        return MinimumPlacement.usableEngines(view).stream()
                .filter(target -> layout.get(model, target).isEmpty())
                .filter(target -> !layout.isExcluded(model, target))
                .map(view.configuration().targets()::get)
                .sorted(
                        Comparator.comparing(
                                        (Configuration.Target target) ->
                                                dataCentres.contains(target.dataCentre()))
                                .thenComparing(target -> hosts.contains(target.host())))
                .map(Configuration.Target::id)
                .toList();
    }

    /**
     * Returns the best additional copy: one that is already in memory if there is one, and among
     * equals the one that is separated best from the model's other copies.
     *
     * @param layout the layout
     * @param view the configuration, target states and demand to plan from
     * @param model the model
     * @return the copy; empty if none fits
     */
    static Optional<Placement> cheapestCopy(Layout layout, PlanningView view, ModelId model) {
        return fittingCopies(layout, view, model).stream()
                .min(Comparator.comparing(copy -> !view.ready(model, copy.target())));
    }
}
