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
import org.tamaracktrack.core.id.SoftwareVersion;

/**
 * Holds the latest registry entry of a target.
 *
 * @param incarnation the target and its incarnation
 * @param service the service that it belongs to
 * @param version the version of its software
 * @param address the address at which it accepts requests
 * @param dataCentre the data centre of the target
 * @param slots the number of requests that it runs at the same time
 * @param leaving whether it is leaving and accepts no new requests
 * @param revision the revision of the entry, which increases within one incarnation
 * @param models the models that it holds, by name
 * @param modelsInMemory the models that it can load from main memory
 * @param modelsOnDisk the models that it can load from disk
 */
public record TargetEntry(
        TargetIncarnation incarnation,
        ServiceId service,
        SoftwareVersion version,
        TargetAddress address,
        DataCentreId dataCentre,
        int slots,
        boolean leaving,
        long revision,
        Map<ModelId, HeldModel> models,
        Set<ModelId> modelsInMemory,
        Set<ModelId> modelsOnDisk) {

    /** Checks the arguments. */
    public TargetEntry {
        Objects.requireNonNull(incarnation, "incarnation is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        models = Map.copyOf(models);
        modelsInMemory = Set.copyOf(modelsInMemory);
        modelsOnDisk = Set.copyOf(modelsOnDisk);
    }

    /**
     * Returns a copy of the entry with other models.
     *
     * @param held the models that the target holds, by name
     * @return the copy
     */
    public TargetEntry withModels(Map<ModelId, HeldModel> held) {
        return new TargetEntry(
                incarnation,
                service,
                version,
                address,
                dataCentre,
                slots,
                leaving,
                revision,
                held,
                modelsInMemory,
                modelsOnDisk);
    }

    /**
     * Returns a copy of the entry that is leaving.
     *
     * @return the copy
     */
    public TargetEntry asLeaving() {
        return new TargetEntry(
                incarnation,
                service,
                version,
                address,
                dataCentre,
                slots,
                true,
                revision,
                models,
                modelsInMemory,
                modelsOnDisk);
    }

    /**
     * Indexes held models by name.
     *
     * @param models the models
     * @return the models by name; the last one where a name occurs twice
     */
    public static Map<ModelId, HeldModel> indexByModel(List<HeldModel> models) {
        return models.stream()
                .collect(
                        Collectors.toMap(
                                HeldModel::model, Function.identity(), (first, second) -> second));
    }

    /**
     * Returns whether the target holds what a request needs.
     *
     * @param need the model and adapter that the request needs
     * @return true when the model, and the adapter if one is named, are in memory
     */
    public boolean holds(ModelNeed need) {
        return Optional.ofNullable(models.get(need.model()))
                .filter(held -> need.adapter().map(held.adapters()::contains).orElse(true))
                .isPresent();
    }

    /**
     * Returns whether the target holds a model, regardless of adapters.
     *
     * @param model the model
     * @return true when it does
     */
    public boolean holds(ModelId model) {
        return models.containsKey(model);
    }
}
