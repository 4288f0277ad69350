package org.tamaracktrack.bench.load;

import java.util.List;
import java.util.Objects;

/**
 * What the daemons decide by.
 *
 * @param name its name in the table
 * @param entryFlags flags of entry daemons
 * @param targetFlags flags of target daemons
 */
public record Policy(String name, List<String> entryFlags, List<String> targetFlags) {

    /** What the daemons do when they are told nothing. */
    public static final Policy DEFAULT = new Policy("default", List.of(), List.of());

    /** The simpler ways that it is measured against. */
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
