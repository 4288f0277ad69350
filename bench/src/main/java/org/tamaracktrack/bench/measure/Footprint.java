package org.tamaracktrack.bench.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.stream.Stream;
import org.tamaracktrack.bench.stack.StackException;

/**
 * What a process uses, as Linux tells.
 *
 * @param residentMebibytes resident memory
 * @param threads its threads
 * @param cpuSeconds processor time since its start
 * @param takenNanos when this was read
 */
public record Footprint(
        double residentMebibytes, long threads, double cpuSeconds, long takenNanos) {

    private static final double KIBIBYTES_PER_MEBIBYTE = 1024.0;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double TICKS_PER_SECOND = 100.0;
    private static final int USER_TICKS_AFTER_NAME = 11;
    private static final double PERCENT = 100.0;

    /**
     * Reads the footprint of a process.
     *
     * @param pid the process
     * @return its footprint
     */
    public static Footprint of(long pid) {
        Path process = Path.of("/proc", Long.toString(pid));
        try {
            String stat = Files.readString(process.resolve("stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            double ticks =
                    Double.parseDouble(fields[USER_TICKS_AFTER_NAME])
                            + Double.parseDouble(fields[USER_TICKS_AFTER_NAME + 1]);
            return new Footprint(
                    status(process, "VmRSS:") / KIBIBYTES_PER_MEBIBYTE,
                    status(process, "Threads:"),
                    ticks / TICKS_PER_SECOND,
                    System.nanoTime());
        } catch (IOException gone) {
            throw StackException.of("no process " + pid, gone);
        }
    }

    private static long status(Path process, String field) throws IOException {
        try (Stream<String> lines = Files.lines(process.resolve("status"))) {
            return lines.filter(line -> line.startsWith(field))
                    .map(line -> line.replaceAll("[^0-9]", ""))
                    .mapToLong(Long::parseLong)
                    .findFirst()
                    .orElse(0);
        }
    }

    /**
     * Describes what was used since an earlier moment.
     *
     * @param before the earlier footprint
     * @return memory, threads and the part of one core
     */
    public String since(Footprint before) {
        double seconds = (takenNanos - before.takenNanos) / NANOS_PER_SECOND;
        return String.format(
                Locale.ROOT,
                "RSS %.0f MiB, %d threads, %.2f%% of a core over %.1f s",
                residentMebibytes,
                threads,
                PERCENT * (cpuSeconds - before.cpuSeconds) / seconds,
                seconds);
    }
}
