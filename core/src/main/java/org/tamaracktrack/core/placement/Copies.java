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

/** Where further copies of a model may go. */
final class Copies {
    private Copies() {}

    /**
     * Returns the further copies that would fit, those apart from the model's other copies first.
     *
     * @param layout the layout
     * @param view what is known
     * @param model the model
     * @return the copies
     */
    static List<Placement> fitting(Layout layout, PlanningView view, ModelId model) {
        return apart(layout, view, model).stream()
                .map(target -> layout.whole(model, target, MoveCause.DEMAND))
                .filter(layout::fits)
                .toList();
    }

    /**
     * Returns the targets without a copy of a model: those in another data centre than its copies
     * first, then those on another host, so that one loss does not take all copies.
     *
     * @param layout the layout
     * @param view what is known
     * @param model the model
     * @return the targets
     */
    static List<TargetId> apart(Layout layout, PlanningView view, ModelId model) {
        List<Configuration.Target> homes =
                layout.homes(model).stream()
                        .map(view.configuration().targets()::get)
                        .filter(Objects::nonNull)
                        .toList();
        Set<DataCentreId> dataCentres =
                homes.stream().map(Configuration.Target::dataCentre).collect(Collectors.toSet());
        Set<HostId> hosts =
                homes.stream().map(Configuration.Target::host).collect(Collectors.toSet());
        return Homes.usable(view).stream()
                .filter(target -> layout.get(model, target).isEmpty())
                .filter(target -> !layout.avoids(model, target))
                .map(view.configuration().targets()::get)
                .sorted(
                        Comparator.comparing(
                                        (Configuration.Target one) ->
                                                dataCentres.contains(one.dataCentre()))
                                .thenComparing(one -> hosts.contains(one.host())))
                .map(Configuration.Target::id)
                .toList();
    }

    /**
     * Returns the further copy that costs the least moves and is the furthest apart.
     *
     * @param layout the layout
     * @param view what is known
     * @param model the model
     * @return the copy, if one fits
     */
    static Optional<Placement> cheapest(Layout layout, PlanningView view, ModelId model) {
        return fitting(layout, view, model).stream()
                .min(Comparator.comparing(copy -> !view.ready(model, copy.target())));
    }
}
