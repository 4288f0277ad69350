import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt. */
final class Record implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Ends the case as one that couldn't run when it takes too long. */
    void limit(long seconds) {
        Web.start(
                "limit",
                () -> {
                    try {
                        Thread.sleep(seconds * 1_000);
                    } catch (InterruptedException ended) {
                        return;
                    }
                    note("the case takes too long");
                    System.exit(2);
                });
    }

    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void add(String what, String who, String text) {
        out.printf("%8.3f %-9s %-18s %s%n", millis() / 1000.0, what, who, text);
    }

    synchronized void note(String text) {
        add("note", "-", text);
        System.out.println(text);
    }

    @Override
    public void close() {
        out.close();
    }
}
