package org.tamaracktrack.core.fleet;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.SoftwareVersion;
import org.tamaracktrack.core.id.TargetId;

/** Creates registry entries for tests. */
public final class TargetEntries {
    public static final ServiceId ENGINES = ServiceId.of("engines");
    public static final DataCentreId HOME = DataCentreId.of("home");
    public static final DataCentreId AWAY = DataCentreId.of("away");

    private TargetEntries() {}

    public static TargetEntry engine(String name, DataCentreId dataCentre, String... models) {
        return entry(name, 0, 1, false, dataCentre, models);
    }

    public static TargetEntry entry(
            String name,
            long started,
            long revision,
            boolean leaving,
            DataCentreId dataCentre,
            String... models) {
        return entry(name, started, revision, leaving, dataCentre, "v1", models);
    }

    public static TargetEntry engineAt(
            String version, String name, DataCentreId dataCentre, String... models) {
        return entry(name, 0, 1, false, dataCentre, version, models);
    }

    private static TargetEntry entry(
            String name,
            long started,
            long revision,
            boolean leaving,
            DataCentreId dataCentre,
            String version,
            String[] models) {
        return new TargetEntry(
                new TargetIncarnation(TargetId.of(name), started),
                ENGINES,
                SoftwareVersion.of(version),
                new TargetAddress("10.0.0.1", 80),
                dataCentre,
                64,
                leaving,
                revision,
                TargetEntry.indexByModel(
                        Arrays.stream(models)
                                .map(model -> new HeldModel(ModelId.of(model), Set.of()))
                                .collect(Collectors.toList())),
                Set.of(),
                Set.of());
    }

    public static FleetSnapshot fleet(TargetEntry... entries) {
        Map<TargetId, TargetEntry> byTarget =
                Arrays.stream(entries)
                        .collect(
                                Collectors.toMap(
                                        entry -> entry.incarnation().target(), entry -> entry));
        return FleetSnapshot.of(byTarget);
    }

    public static ModelNeed need(String model) {
        return new ModelNeed(ModelId.of(model), Optional.empty());
    }
}
