package org.tamaracktrack.bench.stack;

import java.util.List;
import java.util.Objects;

/**
 * A target to start.
 *
 * @param name the target's name in the configuration
 * @param host its host
 * @param dataCentre the host's data centre
 * @param process the stand-in process it is in; targets of one kind with the same flags may share
 * @param kind the kind of stand-in: engine or service
 * @param parameter the configuration's parameter that holds its endpoint
 * @param flags flags for its stand-in
 */
public record TargetPlan(
        String name,
        String host,
        String dataCentre,
        String process,
        String kind,
        String parameter,
        List<String> flags) {

    /** Checks the arguments. */
    public TargetPlan {
        Objects.requireNonNull(name, "name is null");
        flags = List.copyOf(flags);
    }
}
