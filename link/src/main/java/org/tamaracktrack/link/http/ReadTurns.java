package org.tamaracktrack.link.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;

/**
 * Shares an input/output thread between answers that have more to read than fits into one turn.
 * They take turns, and all of them together get a part of the thread's time: without this a server
 * that sends without end would take the thread from the calls to all others. Confined to the
 * thread.
 */
final class ReadTurns {
    /** More than an engine sends between two looks at its connection. */
    static final int TURN_BYTES = 32 * 1024;

    /** Long answers get one part in this many of the thread's time. */
    private static final int THREAD_PARTS = 4;

    private static final long MIN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final XnioIoThread thread;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private boolean scheduled;

    private ReadTurns(XnioIoThread thread) {
        this.thread = thread;
    }

    static ReadTurns of(XnioIoThread thread) {
        return new ReadTurns(thread);
    }

    /** Runs a turn after those that wait already, once the thread has had time for others. */
    void await(Runnable turn) {
        waiting.add(turn);
        schedule(MIN_PAUSE_NANOS);
    }

    private void schedule(long pauseNanos) {
        if (scheduled || waiting.isEmpty()) {
            return;
        }
        try {
            thread.executeAfter(this::runNext, pauseNanos, TimeUnit.NANOSECONDS);
            scheduled = true;
        } catch (RejectedExecutionException stopped) {
            waiting.clear();
        }
    }

    private void runNext() {
        long beganNanos = System.nanoTime();
        try {
            waiting.remove().run();
        } finally {
            scheduled = false;
            long tookNanos = System.nanoTime() - beganNanos;
            schedule(Math.max(MIN_PAUSE_NANOS, tookNanos * (THREAD_PARTS - 1)));
        }
    }
}
