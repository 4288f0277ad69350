package org.tamaracktrack.bench.stack;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/** How often each request ran, as the engines and services themselves counted. */
public final class RunBook {
    private final Map<String, Integer> runs;

    private RunBook(Map<String, Integer> runs) {
        this.runs = runs;
    }

    /**
     * Asks every engine and service.
     *
     * @param stack the system
     * @return the runs of every request by the hash of its prompt or body
     */
    public static RunBook of(LocalStack stack) {
        Objects.requireNonNull(stack, "stack is null");
        Map<String, Integer> runs = new HashMap<>();
        stack.engines()
                .values()
                .forEach(engine -> add(runs, engine.ask("/control/runs").get("byPrompt")));
        stack.services()
                .values()
                .forEach(service -> add(runs, service.ask("/control/runs").get("byBody")));
        return new RunBook(runs);
    }

    private static void add(Map<String, Integer> runs, JsonNode counted) {
        counted.fields()
                .forEachRemaining(
                        run -> runs.merge(run.getKey(), run.getValue().asInt(), Integer::sum));
    }

    /**
     * Returns how often a request ran.
     *
     * @param hash the SHA-256 of its prompt or body
     * @return how often
     */
    public int runsOf(String hash) {
        return runs.getOrDefault(hash, 0);
    }
}
