package org.tamaracktrack.core.stream;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.SoftwareVersion;

/**
 * The software versions that targets of each service have run recently. While a service has had one
 * version only, the version of each of its streams is known without a record. Confined to the
 * traffic thread.
 */
final class VersionHistory {
    private final Map<ServiceId, Map<SoftwareVersion, Long>> lastSeenMillis = new HashMap<>();

    private VersionHistory() {}

    static VersionHistory empty() {
        return new VersionHistory();
    }

    void observe(FleetSnapshot fleet, long nowMillis) {
        fleet.all().forEach(entry -> observe(entry.service(), entry.version(), nowMillis));
    }

    void observe(ServiceId service, SoftwareVersion version, long nowMillis) {
        lastSeenMillis
                .computeIfAbsent(service, name -> new HashMap<>())
                .merge(version, nowMillis, Math::max);
    }

    /** Removes versions that were last seen longer ago than the retention time. */
    void expire(long retentionMillis, long nowMillis) {
        lastSeenMillis
                .values()
                .forEach(
                        versions ->
                                versions.values()
                                        .removeIf(seen -> nowMillis - seen > retentionMillis));
        lastSeenMillis.values().removeIf(Map::isEmpty);
    }

    /** Returns the recent versions of a service. */
    Set<SoftwareVersion> versions(ServiceId service) {
        return Set.copyOf(lastSeenMillis.getOrDefault(service, Map.of()).keySet());
    }

    /** Returns the services with a recent version. */
    Set<ServiceId> services() {
        return Set.copyOf(lastSeenMillis.keySet());
    }

    /** Returns the only recent version of a service; empty when there are several or none. */
    Optional<SoftwareVersion> only(ServiceId service) {
        Set<SoftwareVersion> versions = versions(service);
        return versions.size() == 1 ? versions.stream().findFirst() : Optional.empty();
    }
}
