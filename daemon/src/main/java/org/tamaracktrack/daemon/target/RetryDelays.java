package org.tamaracktrack.daemon.target;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.target.OrderKind;
import org.tamaracktrack.core.target.ResidencyChange;

/** Delays before a change that had no effect is ordered again, with exponential back-off. */
final class RetryDelays {
    private static final long FIRST_MILLIS = 500;
    private static final long MAXIMUM_MILLIS = 30_000;

    private final Map<Key, Delay> delays = new HashMap<>();

    private record Key(OrderKind kind, ModelId model, Optional<AdapterId> adapter) {}

    private record Delay(long millis, long dueAtMillis) {}

    private RetryDelays() {}

    static RetryDelays empty() {
        return new RetryDelays();
    }

    private static Key key(ResidencyChange change) {
        return new Key(change.kind(), change.model(), change.adapter());
    }

    void failed(ResidencyChange change, long nowMillis) {
        delays.compute(
                key(change),
                (key, previous) -> {
                    long millis =
                            previous == null
                                    ? FIRST_MILLIS
                                    : Math.min(MAXIMUM_MILLIS, 2 * previous.millis());
                    return new Delay(millis, nowMillis + millis);
                });
    }

    void succeeded(ResidencyChange change) {
        delays.remove(key(change));
    }

    boolean isDue(ResidencyChange change, long nowMillis) {
        Delay delay = delays.get(key(change));
        return delay == null || nowMillis >= delay.dueAtMillis();
    }
}
