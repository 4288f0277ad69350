package org.tamaracktrack.standins.service;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/** Counts how often each request ran. Safe for use by several threads. */
public final class RunCounter {
    private final Map<String, Integer> runs = new TreeMap<>();

    /** Makes a counter without runs. */
    public RunCounter() {}

    /**
     * Counts a run.
     *
     * @param request what ran
     * @return how often it ran so far, this time included
     */
    public synchronized int count(String request) {
        Objects.requireNonNull(request, "request is null");
        return runs.merge(request, 1, Integer::sum);
    }

    /**
     * Returns the runs.
     *
     * @return how often each request ran
     */
    public synchronized Map<String, Integer> runs() {
        return new TreeMap<>(runs);
    }
}
