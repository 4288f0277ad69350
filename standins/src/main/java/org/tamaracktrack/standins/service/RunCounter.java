package org.tamaracktrack.standins.service;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/** Counts the runs of each request. Safe for use by several threads. */
public final class RunCounter {
    private final Map<String, Integer> counts = new TreeMap<>();

    /** Creates a counter without runs. */
    public RunCounter() {}

    /**
     * Adds a run of a request.
     *
     * @param request the key of the request
     * @return the number of runs of the request, including this one
     */
    public synchronized int increment(String request) {
        Objects.requireNonNull(request, "request is null");
        return counts.merge(request, 1, Integer::sum);
    }

    /**
     * Returns the number of runs of each request.
     *
     * @return the number of runs by key
     */
    public synchronized Map<String, Integer> counts() {
        return new TreeMap<>(counts);
    }
}
