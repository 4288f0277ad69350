package org.tamaracktrack.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import org.tamaracktrack.bench.caller.Caller;
import org.tamaracktrack.bench.caller.Observation;

/**
 * An open-loop load generator: sends each request when it is due, whether or not earlier ones have
 * been answered.
 */
public final class OpenLoopLoad {
    private static final double NANOS_PER_MILLI = 1e6;

    private final Caller caller = Caller.of();

    /** Creates a load generator with an HTTP client of its own. */
    public OpenLoopLoad() {}

    /**
     * A request that was sent, and its result.
     *
     * @param arrival the request and the time at which it was due
     * @param observation the outcome and the times as the caller observed them
     * @param sendDelayMillis the time between when the request was due and when it was sent, in
     *     milliseconds; counted as part of the response time
     */
    public record SentRequest(Arrival arrival, Observation observation, double sendDelayMillis) {

        /**
         * Returns the time from when the request was due until the first byte of the answer.
         *
         * @return milliseconds
         */
        public double firstByteMillis() {
            return sendDelayMillis + observation.firstByteMillis();
        }

        /**
         * Returns the time from when the request was due until the end of the answer.
         *
         * @return milliseconds
         */
        public double totalMillis() {
            return sendDelayMillis + observation.totalMillis();
        }
    }

    /**
     * A fault or change that is made during the load.
     *
     * @param atMillis the time of the event, in milliseconds after the start of the load
     * @param action makes the change
     */
    public record Event(double atMillis, Runnable action) {}

    /**
     * Sends all requests and waits until each has ended. Events run on a thread of their own.
     *
     * @param addresses the addresses of the entry daemons, which are used in rotation
     * @param arrivals the arrivals in order of time
     * @param events the events during the load, in order of time
     * @return the requests and their results, in the order of the arrivals
     */
    public List<SentRequest> run(
            List<String> addresses, List<Arrival> arrivals, List<Event> events) {
        Objects.requireNonNull(arrivals, "arrivals is null");
        long startNanos = System.nanoTime();
        Thread eventThread = new Thread(() -> runEvents(startNanos, events), "director");
        eventThread.setDaemon(true);
        eventThread.start();
        List<CompletableFuture<SentRequest>> pendingRequests = new ArrayList<>();
        for (Arrival arrival : arrivals) {
            awaitDue(startNanos, arrival.atMillis());
            double sendDelayMillis =
                    (System.nanoTime() - startNanos) / NANOS_PER_MILLI - arrival.atMillis();
            String address = addresses.get(pendingRequests.size() % addresses.size());
            pendingRequests.add(
                    caller.send(address, arrival.request())
                            .thenApply(
                                    observation ->
                                            new SentRequest(
                                                    arrival, observation, sendDelayMillis)));
        }
        return pendingRequests.stream().map(CompletableFuture::join).toList();
    }

    private static void runEvents(long startNanos, List<Event> events) {
        events.forEach(
                event -> {
                    awaitDue(startNanos, event.atMillis());
                    event.action().run();
                });
    }

    private static void awaitDue(long startNanos, double atMillis) {
        long dueNanos = startNanos + Math.round(atMillis * NANOS_PER_MILLI);
        long remainingNanos = dueNanos - System.nanoTime();
        while (remainingNanos > 0) {
            LockSupport.parkNanos(remainingNanos);
            remainingNanos = dueNanos - System.nanoTime();
        }
    }
}
