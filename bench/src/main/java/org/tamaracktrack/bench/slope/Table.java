package org.tamaracktrack.bench.slope;

import java.io.PrintStream;
import java.util.Locale;

/** Prints measured costs as tables. */
final class Table {
    private final PrintStream out;

    Table(PrintStream out) {
        this.out = out;
    }

    void title(String title) {
        out.printf("%n%s%n", title);
    }

    void row(String size, Cost cost) {
        out.printf(
                Locale.ROOT,
                "| %s | %.2f us (%.2f to %.2f) | %d B allocated |%n",
                size,
                cost.medianMicros(),
                cost.lowestMicros(),
                cost.highestMicros(),
                cost.allocatedBytes());
    }

    void row(String size, long bytes, String meaning) {
        out.printf(Locale.ROOT, "| %s | %d B %s |%n", size, bytes, meaning);
    }
}
