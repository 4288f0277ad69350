package org.tamaracktrack.daemon.runtime;

import java.util.Objects;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** The one thread that owns a daemon's control state. Tasks run one at a time, in order. */
public final class ControlThread implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ControlThread.class);

    /** What a task may take before others that wait behind it are late, in milliseconds. */
    private static final long LONG_TASK_MILLIS = 250;

    private final ScheduledExecutorService executor;

    private ControlThread(ScheduledExecutorService executor) {
        this.executor = executor;
    }

    /**
     * Starts a control thread.
     *
     * @param name the thread's name
     * @return the thread
     */
    public static ControlThread of(String name) {
        Objects.requireNonNull(name, "name is null");
        return new ControlThread(
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, name);
                            thread.setDaemon(true);
                            return thread;
                        }));
    }

    /**
     * Returns the monotonic time that control state works with.
     *
     * @return milliseconds from an arbitrary start
     */
    public static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Runs a task soon. After {@link #close()} it is dropped.
     *
     * @param task the task
     */
    public void post(Runnable task) {
        Objects.requireNonNull(task, "task is null");
        try {
            executor.execute(guarded(task));
        } catch (RejectedExecutionException closed) {
            LOG.debugf("event=control-task-dropped reason=closed");
        }
    }

    /**
     * Runs a task once after a delay.
     *
     * @param delayMillis the delay
     * @param task the task
     */
    public void after(long delayMillis, Runnable task) {
        Objects.requireNonNull(task, "task is null");
        try {
            executor.schedule(guarded(task), delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException closed) {
            LOG.debugf("event=control-task-dropped reason=closed");
        }
    }

    /**
     * Runs a task again and again.
     *
     * @param periodMillis the time between the end of one run and the start of the next
     * @param task the task
     */
    public void every(long periodMillis, Runnable task) {
        Objects.requireNonNull(task, "task is null");
        executor.scheduleWithFixedDelay(
                guarded(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    // A task that throws would silently end its repetition and freeze the daemon's control state
    // while traffic goes on; logged and swallowed, the next tick runs.
    private static Runnable guarded(Runnable task) {
        return () -> {
            long startedMillis = nowMillis();
            try {
                task.run();
            } catch (RuntimeException failure) {
                LOG.errorf(failure, "event=control-task-failed");
            }
            noteLength(nowMillis() - startedMillis, task);
        };
    }

    private static void noteLength(long ranMillis, Runnable task) {
        if (ranMillis > LONG_TASK_MILLIS) {
            LOG.infof(
                    "event=control-task-long ran_ms=%d task=%s",
                    ranMillis, task.getClass().getName());
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
