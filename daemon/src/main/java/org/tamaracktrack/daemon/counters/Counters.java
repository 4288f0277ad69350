package org.tamaracktrack.daemon.counters;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;
import org.tamaracktrack.core.report.CounterName;

/** The cumulative counters of this process. For any thread. */
public final class Counters {
    private final ConcurrentHashMap<String, LongAdder> values = new ConcurrentHashMap<>();

    private Counters() {}

    /**
     * Returns counters that are all 0.
     *
     * @return the counters
     */
    public static Counters empty() {
        return new Counters();
    }

    /**
     * Adds to a counter.
     *
     * @param name the counter
     * @param delta how much, 0 or more
     */
    public void add(CounterName name, long delta) {
        add(name.text(), delta);
    }

    /**
     * Adds to a counter.
     *
     * @param name the text of a {@link CounterName}
     * @param delta how much, 0 or more
     */
    public void add(String name, long delta) {
        Objects.requireNonNull(name, "name is null");
        values.computeIfAbsent(name, unused -> new LongAdder()).add(delta);
    }

    /**
     * Returns the counters that are not 0.
     *
     * @return the counters by name
     */
    public Map<String, Long> snapshot() {
        return values.entrySet().stream()
                .filter(entry -> entry.getValue().sum() != 0)
                .collect(
                        Collectors.toUnmodifiableMap(
                                Map.Entry::getKey, entry -> entry.getValue().sum()));
    }
}
