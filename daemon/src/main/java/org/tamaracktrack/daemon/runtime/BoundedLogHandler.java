package org.tamaracktrack.daemon.runtime;

import java.io.PrintStream;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines from one thread of its own, bounded in number.
 *
 * <p>An output that nobody reads blocks its writer. Were that a traffic thread, every request would
 * stand still; here only the log does. Lines that find the queue full, or come faster than the
 * rate, are left out and counted, and the count is written.
 */
public final class BoundedLogHandler extends Handler {
    private static final int QUEUED_LINES = 4_096;
    private static final long SECOND_MILLIS = 1_000;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUED_LINES);
    private final AtomicLong leftOut = new AtomicLong();
    private final PrintStream out;
    private final int linesPerSecond;
    private long secondStartedMillis;
    private int linesThisSecond;

    private BoundedLogHandler(PrintStream out, int linesPerSecond) {
        this.out = out;
        this.linesPerSecond = linesPerSecond;
    }

    /**
     * Starts a handler.
     *
     * @param out where lines go
     * @param linesPerSecond how many at most
     * @return the handler
     */
    public static BoundedLogHandler start(PrintStream out, int linesPerSecond) {
        Objects.requireNonNull(out, "out is null");
        BoundedLogHandler handler = new BoundedLogHandler(out, linesPerSecond);
        Thread writer = new Thread(handler::write, "log");
        writer.setDaemon(true);
        writer.start();
        return handler;
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        if (!takeRate(record.getMillis()) || !queue.offer(line(record))) {
            leftOut.incrementAndGet();
        }
    }

    private synchronized boolean takeRate(long nowMillis) {
        if (Math.abs(nowMillis - secondStartedMillis) >= SECOND_MILLIS) {
            secondStartedMillis = nowMillis;
            linesThisSecond = 0;
        }
        return linesThisSecond++ < linesPerSecond;
    }

    private static String line(LogRecord record) {
        StringBuilder text = new StringBuilder(256);
        text.append("at=").append(record.getMillis());
        text.append(" level=").append(record.getLevel().getName());
        text.append(' ').append(record.getMessage());
        for (Throwable cause = record.getThrown(); cause != null; cause = cause.getCause()) {
            text.append(" cause=\"").append(cause).append('"');
            StackTraceElement[] stack = cause.getStackTrace();
            if (stack.length > 0) {
                text.append(" from=").append(stack[0]);
            }
        }
        return text.toString();
    }

    private void write() {
        try {
            while (true) {
                String line = queue.take();
                out.println(line);
                long missed = leftOut.getAndSet(0);
                if (missed > 0) {
                    out.println("level=WARN event=log-lines-left-out count=" + missed);
                }
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes what is queued, for at most a moment. */
    @Override
    public void flush() {
        for (String line = queue.poll(); line != null; line = queue.poll()) {
            out.println(line);
        }
        out.flush();
    }

    @Override
    public void close() {
        flush();
    }
}
