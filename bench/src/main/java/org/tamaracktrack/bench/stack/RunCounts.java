package org.tamaracktrack.bench.stack;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/** Number of runs of each request, as counted by the stand-in engines and services. */
public final class RunCounts {
    private final Map<String, Integer> runs;

    private RunCounts(Map<String, Integer> runs) {
        this.runs = runs;
    }

    /**
     * Reads the run counts of every engine and service.
     *
     * @param stack the system
     * @return the run counts by hash of prompt or body
     */
    public static RunCounts of(LocalStack stack) {
        Objects.requireNonNull(stack, "stack is null");
        Map<String, Integer> runs = new HashMap<>();
        stack.engines()
                .values()
                .forEach(engine -> add(runs, engine.getControl("/control/runs").get("byPrompt")));
        stack.services()
                .values()
                .forEach(service -> add(runs, service.getControl("/control/runs").get("byBody")));
        return new RunCounts(runs);
    }

    private static void add(Map<String, Integer> runs, JsonNode counts) {
        counts.fields()
                .forEachRemaining(
                        run -> runs.merge(run.getKey(), run.getValue().asInt(), Integer::sum));
    }

    /**
     * Returns the number of runs of a request.
     *
     * @param hash the SHA-256 of its prompt or body in hexadecimal
     * @return the number of runs, 0 when the hash is unknown
     */
    public int runsOf(String hash) {
        return runs.getOrDefault(hash, 0);
    }
}
