package org.tamaracktrack.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import org.tamaracktrack.bench.caller.Caller;
import org.tamaracktrack.bench.caller.Observation;

/** Sends arrivals when they are due, whether or not earlier ones have been answered. */
public final class OpenLoad {
    private static final double NANOS_PER_MILLI = 1e6;

    private final Caller caller = Caller.of();

    /** Makes a load. */
    public OpenLoad() {}

    /**
     * An arrival and what its caller saw.
     *
     * @param arrival the arrival
     * @param seen what the caller saw
     * @param lateMillis how late it was sent; counted as waiting time
     */
    public record Answered(Arrival arrival, Observation seen, double lateMillis) {

        /**
         * Returns the time to the first byte, from when the request was meant to be sent.
         *
         * @return milliseconds
         */
        public double firstByteMillis() {
            return lateMillis + seen.firstByteMillis();
        }

        /**
         * Returns the time to the end, from when the request was meant to be sent.
         *
         * @return milliseconds
         */
        public double totalMillis() {
            return lateMillis + seen.totalMillis();
        }
    }

    /** Something that happens during the load. */
    public record Event(double atMillis, Runnable action) {}

    /**
     * Sends everything and waits for the answers.
     *
     * @param addresses the entry daemons, in turns
     * @param arrivals the arrivals in order
     * @param events what happens meanwhile, in order
     * @return what the callers saw
     */
    public List<Answered> run(List<String> addresses, List<Arrival> arrivals, List<Event> events) {
        Objects.requireNonNull(arrivals, "arrivals is null");
        long start = System.nanoTime();
        Thread director = new Thread(() -> direct(start, events), "director");
        director.setDaemon(true);
        director.start();
        List<CompletableFuture<Answered>> answers = new ArrayList<>();
        for (Arrival arrival : arrivals) {
            awaitDue(start, arrival.atMillis());
            double late = (System.nanoTime() - start) / NANOS_PER_MILLI - arrival.atMillis();
            String address = addresses.get(answers.size() % addresses.size());
            answers.add(
                    caller.send(address, arrival.request())
                            .thenApply(seen -> new Answered(arrival, seen, late)));
        }
        return answers.stream().map(CompletableFuture::join).toList();
    }

    private static void direct(long start, List<Event> events) {
        events.forEach(
                event -> {
                    awaitDue(start, event.atMillis());
                    event.action().run();
                });
    }

    private static void awaitDue(long start, double atMillis) {
        long due = start + Math.round(atMillis * NANOS_PER_MILLI);
        long left = due - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = due - System.nanoTime();
        }
    }
}
