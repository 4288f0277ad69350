package org.tamaracktrack.bench.slope;

import java.io.PrintStream;

/** The command {@code slopes}: measures the costs from which docs/CAPACITY.md is derived. */
public final class Slopes {
    private final CostTable table;

    private Slopes(CostTable table) {
        this.table = table;
    }

    /**
     * Returns the command.
     *
     * @param out the stream to which tables are printed
     * @return the command
     */
    public static Slopes of(PrintStream out) {
        return new Slopes(new CostTable(out));
    }

    /** Measures and prints the costs of decisions, records and retained memory. */
    public void run() {
        DecisionSlopes.run(table);
        RecordSlopes.run(table);
        MemorySlopes.run(table);
    }
}
