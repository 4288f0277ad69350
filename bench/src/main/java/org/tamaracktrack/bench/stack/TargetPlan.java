package org.tamaracktrack.bench.stack;

import java.util.List;
import java.util.Objects;

/**
 * Description of one target of a local stack.
 *
 * @param name the target's name in the configuration
 * @param host the name of its host
 * @param dataCentre the host's data centre
 * @param process the name of its stand-in process; targets of one kind with the same flags may
 *     share a process
 * @param kind the kind of stand-in: engine or service
 * @param parameter the parameter of the configuration that holds its endpoint
 * @param flags command-line flags of its stand-in
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
