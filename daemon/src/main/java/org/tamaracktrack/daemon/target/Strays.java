package org.tamaracktrack.daemon.target;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.tamaracktrack.core.id.ModelId;

/**
 * Models that requests ask for here though the plan places them elsewhere only. At a peak their
 * homes refuse some requests, which then come here; loading for each would spend moves on copies
 * that nobody planned. Only a model that is asked for again and again has lost its homes.
 */
final class Strays {
    private static final long PERSISTENT_MILLIS = 5_000;
    private static final long FORGOTTEN_MILLIS = 3_000;

    private final Map<ModelId, Span> wanted = new HashMap<>();

    private record Span(long firstMillis, long lastMillis) {}

    private Strays() {}

    static Strays empty() {
        return new Strays();
    }

    void wanted(Set<ModelId> models, long nowMillis) {
        wanted.values().removeIf(span -> nowMillis - span.lastMillis() > FORGOTTEN_MILLIS);
        models.forEach(
                model ->
                        wanted.merge(
                                model,
                                new Span(nowMillis, nowMillis),
                                (old, now) -> new Span(old.firstMillis(), nowMillis)));
    }

    /** Whether a model may be loaded for a waiting request. */
    boolean mayLoad(ModelId model, long nowMillis) {
        Span span = wanted.get(model);
        return span == null || nowMillis - span.firstMillis() >= PERSISTENT_MILLIS;
    }
}
