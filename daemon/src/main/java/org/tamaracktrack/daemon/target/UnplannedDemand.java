package org.tamaracktrack.daemon.target;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.tamaracktrack.core.id.ModelId;

/**
 * Tracks models that are requested at this target although the plan places them at other targets
 * only. At a load peak the planned targets refuse some requests, which are then sent here; loading
 * the model for each of them would spend moves on unplanned copies. Only persistent demand shows
 * that the planned targets of the model are lost.
 */
final class UnplannedDemand {
    private static final long MINIMUM_DURATION_MILLIS = 5_000;
    private static final long MAXIMUM_GAP_MILLIS = 3_000;

    private final Map<ModelId, Span> spans = new HashMap<>();

    private record Span(long firstMillis, long lastMillis) {}

    private UnplannedDemand() {}

    static UnplannedDemand empty() {
        return new UnplannedDemand();
    }

    void record(Set<ModelId> models, long nowMillis) {
        spans.values().removeIf(span -> nowMillis - span.lastMillis() > MAXIMUM_GAP_MILLIS);
        models.forEach(
                model ->
                        spans.merge(
                                model,
                                new Span(nowMillis, nowMillis),
                                (previous, latest) -> new Span(previous.firstMillis(), nowMillis)));
    }

    /** Returns whether a model may be loaded for a waiting request. */
    boolean mayLoad(ModelId model, long nowMillis) {
        Span span = spans.get(model);
        return span == null || nowMillis - span.firstMillis() >= MINIMUM_DURATION_MILLIS;
    }
}
