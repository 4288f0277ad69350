package org.tamaracktrack.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.route.Route;

/**
 * The objectives of the routes that recent requests to each service came by. Work that yields is
 * measured by the shortest of them.
 */
public final class ServiceObjectives {
    /**
     * A route counts for this long after its last request: longer than the gaps between bursts of a
     * route in use, and short enough to give its reserve back.
     */
    private static final long IN_USE_MILLIS = 5_000;

    private record Kind(int priority, long objectiveMillis) {}

    private final Map<ServiceId, Map<Kind, Long>> lastUse = new HashMap<>();

    private ServiceObjectives() {}

    /**
     * Returns objectives without a request.
     *
     * @return the objectives
     */
    public static ServiceObjectives empty() {
        return new ServiceObjectives();
    }

    /**
     * Records a request.
     *
     * @param request the request
     * @param nowMillis the monotonic time in milliseconds
     */
    public void record(RequestTerms request, long nowMillis) {
        Map<Kind, Long> kinds = lastUse.computeIfAbsent(request.service(), id -> new HashMap<>());
        if (kinds.put(new Kind(request.priority(), request.objectiveMillis()), nowMillis) == null) {
            kinds.values().removeIf(atMillis -> isUnused(atMillis, nowMillis));
            lastUse.values().removeIf(Map::isEmpty);
        }
    }

    private static boolean isUnused(long atMillis, long nowMillis) {
        return nowMillis - atMillis > IN_USE_MILLIS;
    }

    /**
     * Returns the shortest objective at the service of a request.
     *
     * @param request the request
     * @param nowMillis the monotonic time in milliseconds
     * @return the objective in milliseconds; that of the request when no other is in use
     */
    long shortestMillis(RequestTerms request, long nowMillis) {
        return lastUse.getOrDefault(request.service(), Map.of()).entrySet().stream()
                .filter(kind -> !isUnused(kind.getValue(), nowMillis))
                .mapToLong(kind -> kind.getKey().objectiveMillis())
                .reduce(request.objectiveMillis(), Math::min);
    }

    /**
     * Returns the shortest objective of more urgent routes at the service of a request: those of a
     * higher priority and, for patient work, all that are not patient.
     *
     * @param request the request
     * @param nowMillis the monotonic time in milliseconds
     * @return the objective in milliseconds; {@code Long.MAX_VALUE} when none is in use
     */
    long shortestMoreUrgentMillis(RequestTerms request, long nowMillis) {
        return lastUse.getOrDefault(request.service(), Map.of()).entrySet().stream()
                .filter(kind -> !isUnused(kind.getValue(), nowMillis))
                .map(Map.Entry::getKey)
                .filter(
                        kind ->
                                RequestTerms.isMoreUrgent(
                                        kind.priority(),
                                        Route.isPatient(kind.objectiveMillis()),
                                        request))
                .mapToLong(Kind::objectiveMillis)
                .min()
                .orElse(Long.MAX_VALUE);
    }
}
