package org.tamaracktrack.bench.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.stream.Stream;
import org.tamaracktrack.bench.stack.StackException;

/**
 * The resources that a process uses, as read from {@code /proc} on Linux.
 *
 * @param residentMebibytes the resident memory in mebibytes
 * @param threads the number of threads
 * @param cpuSeconds the processor time since the start of the process in seconds
 * @param readNanos the time of reading, from {@link System#nanoTime()}
 */
public record Footprint(double residentMebibytes, long threads, double cpuSeconds, long readNanos) {

    private static final double KIBIBYTES_PER_MEBIBYTE = 1024.0;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double TICKS_PER_SECOND = 100.0;
    private static final int USER_TICKS_FIELD = 11;
    private static final double PERCENT = 100.0;

    /**
     * Reads the footprint of a process.
     *
     * @param pid the process id
     * @return the footprint
     * @throws StackException if the process does not exist
     */
    public static Footprint of(long pid) {
        Path process = Path.of("/proc", Long.toString(pid));
        try {
            String stat = Files.readString(process.resolve("stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            double ticks =
                    Double.parseDouble(fields[USER_TICKS_FIELD])
                            + Double.parseDouble(fields[USER_TICKS_FIELD + 1]);
            return new Footprint(
                    statusValue(process, "VmRSS:") / KIBIBYTES_PER_MEBIBYTE,
                    statusValue(process, "Threads:"),
                    ticks / TICKS_PER_SECOND,
                    System.nanoTime());
        } catch (IOException failure) {
            throw StackException.of("cannot read the footprint of process " + pid, failure);
        }
    }

    private static long statusValue(Path process, String field) throws IOException {
        try (Stream<String> lines = Files.lines(process.resolve("status"))) {
            return lines.filter(line -> line.startsWith(field))
                    .map(line -> line.replaceAll("[^0-9]", ""))
                    .mapToLong(Long::parseLong)
                    .findFirst()
                    .orElse(0);
        }
    }

    /**
     * Describes the memory and threads in use, and the processor time used since an earlier
     * reading.
     *
     * @param before the earlier footprint of the same process
     * @return resident memory, threads and the share of one core as text
     */
    public String describeSince(Footprint before) {
        double seconds = (readNanos - before.readNanos) / NANOS_PER_SECOND;
        return String.format(
                Locale.ROOT,
                "RSS %.0f MiB, %d threads, %.2f%% of a core over %.1f s",
                residentMebibytes,
                threads,
                PERCENT * (cpuSeconds - before.cpuSeconds) / seconds,
                seconds);
    }
}
