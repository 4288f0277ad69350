package org.tamaracktrack.daemon.counters;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;
import org.tamaracktrack.core.report.CounterName;

/** Holds the cumulative counters of this process. Safe for use by several threads. */
public final class Counters {
    private final ConcurrentHashMap<String, LongAdder> values = new ConcurrentHashMap<>();

    private Counters() {}

    /**
     * Returns an instance in which all counters are 0.
     *
     * @return the counters
     */
    public static Counters empty() {
        return new Counters();
    }

    /**
     * Increases a counter.
     *
     * @param name the name of the counter
     * @param delta the increase, 0 or more
     */
    public void add(CounterName name, long delta) {
        add(name.text(), delta);
    }

    /**
     * Increases a counter.
     *
     * @param name the text of a {@link CounterName}
     * @param delta the increase, 0 or more
     */
    public void add(String name, long delta) {
        Objects.requireNonNull(name, "name is null");
        values.computeIfAbsent(name, unused -> new LongAdder()).add(delta);
    }

    /**
     * Returns the current values of all counters that are not 0.
     *
     * @return the values by counter name
     */
    public Map<String, Long> snapshot() {
        return values.entrySet().stream()
                .filter(entry -> entry.getValue().sum() != 0)
                .collect(
                        Collectors.toUnmodifiableMap(
                                Map.Entry::getKey, entry -> entry.getValue().sum()));
    }
}
