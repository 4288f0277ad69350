package org.tamaracktrack.standins.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.tamaracktrack.standins.http.Gate;
import org.tamaracktrack.standins.time.Lagged;

/** Runs the batch in real time on a thread of its own. */
final class Batcher {
    private final BatchScheduler scheduler;
    private final Gate gate;
    private final Map<Long, Sink> sinks = new HashMap<>();
    private final Lagged<BatchLoad> load = Lagged.of(new BatchLoad(0, 0));
    private long nextNumber;

    private Batcher(BatchScheduler scheduler, Gate gate) {
        this.scheduler = scheduler;
        this.gate = gate;
    }

    /** Hears of one request. */
    interface Sink {

        /** It has joined the batch. */
        void onStarted();

        /**
         * A token is there.
         *
         * @param token the token
         */
        void onToken(BatchScheduler.Token token);
    }

    record BatchLoad(int running, int queued) {}

    static Batcher start(BatchScheduler scheduler, Gate gate) {
        Batcher batcher = new Batcher(scheduler, gate);
        Thread thread = new Thread(batcher::run, "batch");
        thread.setDaemon(true);
        thread.start();
        return batcher;
    }

    /** Takes a request if {@code allowed} still holds at that moment and there is room. */
    synchronized Optional<Long> submit(JobShape shape, BooleanSupplier allowed, Sink sink) {
        if (!allowed.getAsBoolean()) {
            return Optional.empty();
        }
        long number = nextNumber;
        nextNumber++;
        if (!scheduler.submit(shape.numbered(number))) {
            return Optional.of(-1L);
        }
        sinks.put(number, sink);
        noteLoad();
        notifyAll();
        return Optional.of(number);
    }

    synchronized void cancel(long number) {
        scheduler.cancel(number);
        sinks.remove(number);
        noteLoad();
        notifyAll();
    }

    /** Waits until no request uses a model, for a limited time. */
    synchronized void awaitUnused(String model, long limitMillis) {
        long until = System.currentTimeMillis() + limitMillis;
        long left = limitMillis;
        while (scheduler.uses(model) && left > 0) {
            waitQuietly(left);
            left = until - System.currentTimeMillis();
        }
    }

    synchronized Inventory.LoadState loadAt(long thenMillis) {
        BatchLoad then = load.at(thenMillis);
        return new Inventory.LoadState(then.running(), then.queued(), thenMillis);
    }

    private void run() {
        while (true) {
            gate.pass();
            BatchScheduler.Step step = begin();
            await(step.micros());
            gate.pass();
            end();
        }
    }

    private synchronized BatchScheduler.Step begin() {
        Optional<BatchScheduler.Step> step = scheduler.beginStep();
        while (step.isEmpty()) {
            waitQuietly(0);
            step = scheduler.beginStep();
        }
        noteLoad();
        step.get().joined().forEach(job -> sinks.get(job.number()).onStarted());
        return step.get();
    }

    private synchronized void end() {
        List<BatchScheduler.Token> tokens = scheduler.endStep();
        tokens.forEach(token -> sinks.get(token.job()).onToken(token));
        tokens.stream().filter(BatchScheduler.Token::last).forEach(t -> sinks.remove(t.job()));
        noteLoad();
        notifyAll();
    }

    private void noteLoad() {
        load.set(
                System.currentTimeMillis(), new BatchLoad(scheduler.running(), scheduler.queued()));
    }

    private void waitQuietly(long millis) {
        try {
            wait(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void await(long micros) {
        long until = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(micros);
        long left = until - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = until - System.nanoTime();
        }
    }
}
