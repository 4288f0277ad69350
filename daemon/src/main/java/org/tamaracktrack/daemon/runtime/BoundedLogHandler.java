package org.tamaracktrack.daemon.runtime;

import java.io.PrintStream;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a thread of its own, with a bounded queue and a limited rate.
 *
 * <p>Writing to an output that nobody reads blocks. On a traffic thread that would stop every
 * request; here it stops only the log. Lines that arrive while the queue is full or that exceed the
 * rate are omitted and counted, and the count is written to the output.
 */
public final class BoundedLogHandler extends Handler {
    private static final int QUEUE_CAPACITY_LINES = 4_096;
    private static final long WINDOW_MILLIS = 1_000;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);
    private final AtomicLong omittedLines = new AtomicLong();
    private final PrintStream out;
    private final int linesPerSecond;
    private long windowStartMillis;
    private int linesInWindow;

    private BoundedLogHandler(PrintStream out, int linesPerSecond) {
        this.out = out;
        this.linesPerSecond = linesPerSecond;
    }

    /**
     * Starts a handler.
     *
     * @param out the output
     * @param linesPerSecond the maximum number of lines per second
     * @return the handler
     */
    public static BoundedLogHandler start(PrintStream out, int linesPerSecond) {
        Objects.requireNonNull(out, "out is null");
        BoundedLogHandler handler = new BoundedLogHandler(out, linesPerSecond);
        Thread writer = new Thread(handler::writeQueuedLines, "log");
        writer.setDaemon(true);
        writer.start();
        return handler;
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        if (!countWithinRate(record.getMillis()) || !queue.offer(format(record))) {
            omittedLines.incrementAndGet();
        }
    }

    private synchronized boolean countWithinRate(long nowMillis) {
        if (Math.abs(nowMillis - windowStartMillis) >= WINDOW_MILLIS) {
            windowStartMillis = nowMillis;
            linesInWindow = 0;
        }
        return linesInWindow++ < linesPerSecond;
    }

    private static String format(LogRecord record) {
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

    private void writeQueuedLines() {
        try {
            while (true) {
                String line = queue.take();
                out.println(line);
                long omitted = omittedLines.getAndSet(0);
                if (omitted > 0) {
                    out.println("level=WARN event=log-lines-left-out count=" + omitted);
                }
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the queued lines on the calling thread. */
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
