package org.tamaracktrack.bench.slope;

import java.io.PrintStream;

/** The command {@code slopes}: measures what docs/CAPACITY.md is worked out from. */
public final class Slopes {
    private final Table table;

    private Slopes(Table table) {
        this.table = table;
    }

    /**
     * Returns the command.
     *
     * @param out where it prints
     * @return the command
     */
    public static Slopes of(PrintStream out) {
        return new Slopes(new Table(out));
    }

    /** Measures and prints. */
    public void run() {
        DecisionSlopes.run(table);
        RecordSlopes.run(table);
        MemorySlopes.run(table);
    }
}
