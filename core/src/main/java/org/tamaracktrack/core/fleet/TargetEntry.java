package org.tamaracktrack.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.ServiceId;

/**
 * What a target last said of itself in the registry.
 *
 * @param incarnation the target and its run
 * @param service the service that it belongs to
 * @param address where it takes requests
 * @param dataCentre where it stands
 * @param slots requests that it runs at once
 * @param leaving whether it takes no new work
 * @param revision grows with what the target reports within one run
 * @param models what it holds, by model
 * @param copiesInMemory models that it can load from main memory
 * @param copiesOnDisk models that it can load from disk
 */
public record TargetEntry(
        TargetIncarnation incarnation,
        ServiceId service,
        TargetAddress address,
        DataCentreId dataCentre,
        int slots,
        boolean leaving,
        long revision,
        Map<ModelId, HeldModel> models,
        Set<ModelId> copiesInMemory,
        Set<ModelId> copiesOnDisk) {

    /** Checks the arguments. */
    public TargetEntry {
        Objects.requireNonNull(incarnation, "incarnation is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        models = Map.copyOf(models);
        copiesInMemory = Set.copyOf(copiesInMemory);
        copiesOnDisk = Set.copyOf(copiesOnDisk);
    }

    /**
     * Returns the same entry with other models.
     *
     * @param held what the target holds, by model
     * @return the entry
     */
    public TargetEntry holding(Map<ModelId, HeldModel> held) {
        return new TargetEntry(
                incarnation,
                service,
                address,
                dataCentre,
                slots,
                leaving,
                revision,
                held,
                copiesInMemory,
                copiesOnDisk);
    }

    /**
     * Indexes held models by name.
     *
     * @param models the models
     * @return the same by name
     */
    public static Map<ModelId, HeldModel> byModel(List<HeldModel> models) {
        return models.stream()
                .collect(
                        Collectors.toMap(
                                HeldModel::model, Function.identity(), (first, second) -> second));
    }

    /**
     * Returns whether the target can run a request now.
     *
     * @param need what the request needs
     * @return true when the model, and the adapter if one is named, are in memory
     */
    public boolean holds(ModelNeed need) {
        return Optional.ofNullable(models.get(need.model()))
                .filter(held -> need.adapter().map(held.adapters()::contains).orElse(true))
                .isPresent();
    }

    /**
     * Returns whether the target holds a model, with or without adapters.
     *
     * @param model the model
     * @return true when it does
     */
    public boolean holds(ModelId model) {
        return models.containsKey(model);
    }
}
