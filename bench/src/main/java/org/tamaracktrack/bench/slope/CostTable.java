package org.tamaracktrack.bench.slope;

import java.io.PrintStream;
import java.util.Locale;

/** Prints measured costs as rows of titled tables. */
final class CostTable {
    private final PrintStream out;

    CostTable(PrintStream out) {
        this.out = out;
    }

    void printTitle(String title) {
        out.printf("%n%s%n", title);
    }

    void printRow(String size, CallCost cost) {
        out.printf(
                Locale.ROOT,
                "| %s | %.2f us (%.2f to %.2f) | %d B allocated |%n",
                size,
                cost.medianMicros(),
                cost.lowestMicros(),
                cost.highestMicros(),
                cost.allocatedBytes());
    }

    void printRow(String size, long bytes, String meaning) {
        out.printf(Locale.ROOT, "| %s | %d B %s |%n", size, bytes, meaning);
    }
}
