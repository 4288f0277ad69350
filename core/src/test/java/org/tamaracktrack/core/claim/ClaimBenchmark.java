package org.tamaracktrack.core.claim;

import java.util.ArrayList;
import java.util.List;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

/** Measures the memory and time per key in the window, at three sizes. */
final class ClaimBenchmark {
    private static final int CLAIMS_PER_RECORD = 100;

    private ClaimBenchmark() {}

    /** Prints bytes and nanoseconds per key. Run with a fixed heap size. */
    public static void main(String[] arguments) {
        measure(10_000);
        List.of(10_000, 100_000, 1_000_000).forEach(ClaimBenchmark::measure);
    }

    private static void measure(int keys) {
        long before = usedBytes();
        ClaimRegister register = ClaimRegister.empty(Long.MAX_VALUE / 4);
        long start = System.nanoTime();
        for (int first = 0; first < keys; first += CLAIMS_PER_RECORD) {
            IncarnationId owner = IncarnationId.of("entry-" + first % 4);
            register.handle(LogRecord.of(2L * first, first, taken(owner, first)));
            register.handle(LogRecord.of(2L * first + 1, first, settled(owner, first)));
        }
        double nanos = (double) (System.nanoTime() - start) / keys;
        double bytes = (double) (usedBytes() - before) / keys;
        System.out.printf(
                "keys=%d bytes_each=%.0f nanos_each=%.0f%n", register.size(), bytes, nanos);
    }

    private static LogEntry taken(IncarnationId owner, int first) {
        List<LogEntry.Claim> claims = new ArrayList<>();
        for (int number = first; number < first + CLAIMS_PER_RECORD; number++) {
            claims.add(
                    new LogEntry.Claim(
                            ClientAccountId.of("account"), "hash-" + number, "request", number));
        }
        return new LogEntry.ClaimsTaken(owner, claims);
    }

    private static LogEntry settled(IncarnationId owner, int first) {
        List<LogEntry.ClaimOutcome> outcomes = new ArrayList<>();
        for (int number = first; number < first + CLAIMS_PER_RECORD; number++) {
            outcomes.add(new LogEntry.ClaimOutcome(number, Ran.YES));
        }
        return new LogEntry.ClaimsSettled(owner, outcomes);
    }

    private static long usedBytes() {
        for (int run = 0; run < 3; run++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
