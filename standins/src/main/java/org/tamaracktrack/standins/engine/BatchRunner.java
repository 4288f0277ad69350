package org.tamaracktrack.standins.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.tamaracktrack.standins.http.Gate;
import org.tamaracktrack.standins.time.LaggedValue;

/** Runs the steps of the batch in real time on a separate thread. */
final class BatchRunner {
    private final BatchScheduler scheduler;
    private final Gate gate;
    private final Map<Long, Listener> listeners = new HashMap<>();
    private final LaggedValue<BatchLoad> load = LaggedValue.of(new BatchLoad(0, 0));
    private long nextNumber;

    private BatchRunner(BatchScheduler scheduler, Gate gate) {
        this.scheduler = scheduler;
        this.gate = gate;
    }

    /** Receives the progress of one request. Called on the batch thread. */
    interface Listener {

        /** Called when the request has joined the batch. */
        void onStarted();

        /**
         * Called when a token was generated.
         *
         * @param token the token
         */
        void onToken(BatchScheduler.Token token);
    }

    record BatchLoad(int running, int queued) {}

    static BatchRunner start(BatchScheduler scheduler, Gate gate) {
        BatchRunner runner = new BatchRunner(scheduler, gate);
        Thread thread = new Thread(runner::run, "batch");
        thread.setDaemon(true);
        thread.start();
        return runner;
    }

    /**
     * Adds a request to the queue. Returns empty if {@code precondition} doesn't hold, and -1 if
     * the queue is full; otherwise the number of the request. The precondition is checked under the
     * lock, so that it holds when the request is added.
     */
    synchronized Optional<Long> submit(
            JobRequest request, BooleanSupplier precondition, Listener listener) {
        if (!precondition.getAsBoolean()) {
            return Optional.empty();
        }
        long number = nextNumber;
        nextNumber++;
        if (!scheduler.submit(request.withNumber(number))) {
            return Optional.of(-1L);
        }
        listeners.put(number, listener);
        recordLoad();
        notifyAll();
        return Optional.of(number);
    }

    synchronized void cancel(long number) {
        scheduler.cancel(number);
        listeners.remove(number);
        recordLoad();
        notifyAll();
    }

    /** Waits until no request uses a model, or until the time limit has passed. */
    synchronized void awaitUnused(String model, long limitMillis) {
        long deadlineMillis = System.currentTimeMillis() + limitMillis;
        long remainingMillis = limitMillis;
        while (scheduler.isInUse(model) && remainingMillis > 0) {
            waitForChange(remainingMillis);
            remainingMillis = deadlineMillis - System.currentTimeMillis();
        }
    }

    synchronized Inventory.LoadState loadAt(long atMillis) {
        BatchLoad batchLoad = load.valueAt(atMillis);
        return new Inventory.LoadState(batchLoad.running(), batchLoad.queued(), atMillis);
    }

    private void run() {
        while (true) {
            gate.awaitOpen();
            BatchScheduler.Step step = beginStep();
            sleepMicros(step.micros());
            gate.awaitOpen();
            endStep();
        }
    }

    private synchronized BatchScheduler.Step beginStep() {
        Optional<BatchScheduler.Step> step = scheduler.beginStep();
        while (step.isEmpty()) {
            waitForChange(0);
            step = scheduler.beginStep();
        }
        recordLoad();
        step.get().joined().forEach(job -> listeners.get(job.number()).onStarted());
        return step.get();
    }

    private synchronized void endStep() {
        List<BatchScheduler.Token> tokens = scheduler.endStep();
        tokens.forEach(token -> listeners.get(token.jobNumber()).onToken(token));
        tokens.stream()
                .filter(BatchScheduler.Token::last)
                .forEach(t -> listeners.remove(t.jobNumber()));
        recordLoad();
        notifyAll();
    }

    private void recordLoad() {
        load.set(
                System.currentTimeMillis(), new BatchLoad(scheduler.running(), scheduler.queued()));
    }

    private void waitForChange(long millis) {
        try {
            wait(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleepMicros(long micros) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(micros);
        long remainingNanos = deadlineNanos - System.nanoTime();
        while (remainingNanos > 0) {
            LockSupport.parkNanos(remainingNanos);
            remainingNanos = deadlineNanos - System.nanoTime();
        }
    }
}
