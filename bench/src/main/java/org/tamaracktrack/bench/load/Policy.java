package org.tamaracktrack.bench.load;

import java.util.List;
import java.util.Objects;

/**
 * A selection of placement, routing and admission policies, as flags of the daemons.
 *
 * @param name the name of the policy in result tables
 * @param entryFlags the flags of the entry daemons
 * @param targetFlags the flags of the target daemons
 */
public record Policy(String name, List<String> entryFlags, List<String> targetFlags) {

    /** The default policies of the daemons. */
    public static final Policy DEFAULT = new Policy("default", List.of(), List.of());

    /** Simpler policies, with which the default is compared. */
    public static final List<Policy> BASELINES =
            List.of(
                    placement("static"),
                    placement("lru"),
                    placement("greedy"),
                    routing("random"),
                    routing("fewest-outstanding"),
                    new Policy("fifo", List.of(), List.of("--admission", "fifo")));

    /** Checks the arguments. */
    public Policy {
        Objects.requireNonNull(name, "name is null");
        entryFlags = List.copyOf(entryFlags);
        targetFlags = List.copyOf(targetFlags);
    }

    private static Policy placement(String kind) {
        return new Policy(kind, List.of("--placement", kind), List.of());
    }

    private static Policy routing(String kind) {
        return new Policy(kind, List.of("--routing", kind), List.of());
    }
}
