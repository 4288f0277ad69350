package org.tamaracktrack.daemon.runtime;

import java.util.Objects;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/**
 * The single thread that owns a daemon's control state. Tasks run one at a time, in the order in
 * which they were posted or fell due.
 */
public final class ControlThread implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ControlThread.class);

    /**
     * A task that runs longer than this is logged, because it delays the tasks queued behind it.
     */
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
     * Returns the current time of the monotonic clock that control state uses. May be called on any
     * thread.
     *
     * @return milliseconds since an arbitrary origin
     */
    public static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Queues a task to run as soon as possible. It is dropped after {@link #close()}. May be called
     * on any thread.
     *
     * @param task the task
     */
    public void post(Runnable task) {
        Objects.requireNonNull(task, "task is null");
        try {
            executor.execute(withFailuresLogged(task));
        } catch (RejectedExecutionException closed) {
            LOG.debugf("event=control-task-dropped reason=closed");
        }
    }

    /**
     * Runs a task once after a delay. It is dropped after {@link #close()}. May be called on any
     * thread.
     *
     * @param delayMillis the delay in milliseconds
     * @param task the task
     */
    public void after(long delayMillis, Runnable task) {
        Objects.requireNonNull(task, "task is null");
        try {
            executor.schedule(withFailuresLogged(task), delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException closed) {
            LOG.debugf("event=control-task-dropped reason=closed");
        }
    }

    /**
     * Runs a task repeatedly until {@link #close()}.
     *
     * @param periodMillis the time between the end of one run and the start of the next, in
     *     milliseconds; also the delay of the first run
     * @param task the task
     */
    public void every(long periodMillis, Runnable task) {
        Objects.requireNonNull(task, "task is null");
        executor.scheduleWithFixedDelay(
                withFailuresLogged(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    // The executor silently cancels a repeated task that throws. The control state would then no
    // longer be updated while traffic continues, so exceptions are logged and not rethrown.
    private static Runnable withFailuresLogged(Runnable task) {
        return () -> {
            long startedMillis = nowMillis();
            try {
                task.run();
            } catch (RuntimeException failure) {
                LOG.errorf(failure, "event=control-task-failed");
            }
            logIfLong(nowMillis() - startedMillis, task);
        };
    }

    private static void logIfLong(long ranMillis, Runnable task) {
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
