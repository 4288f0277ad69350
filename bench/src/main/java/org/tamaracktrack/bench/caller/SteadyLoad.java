package org.tamaracktrack.bench.caller;

import java.util.List;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/** Callers that each send one request after the other until they are told to stop. */
public final class SteadyLoad {
    private final Caller caller = Caller.of();
    private final IntFunction<ModelRequest> requests;
    private final AtomicInteger sent = new AtomicInteger();
    private final Queue<Exchange> exchanges = new ConcurrentLinkedQueue<>();
    private final CountDownLatch runningCallers;
    private volatile boolean stopped;

    private SteadyLoad(IntFunction<ModelRequest> requests, int callers) {
        this.requests = requests;
        this.runningCallers = new CountDownLatch(callers);
    }

    /**
     * A request and what its caller saw.
     *
     * @param address where it was sent
     * @param request the request
     * @param observation what the caller saw
     */
    public record Exchange(String address, ModelRequest request, Observation observation) {}

    /**
     * Starts callers.
     *
     * @param addresses where to send, each caller always to the same
     * @param callersEach how many callers send to each
     * @param requests gives the request with a number
     * @return the running load
     */
    public static SteadyLoad start(
            List<String> addresses, int callersEach, IntFunction<ModelRequest> requests) {
        Objects.requireNonNull(requests, "requests is null");
        SteadyLoad load = new SteadyLoad(requests, addresses.size() * callersEach);
        addresses.forEach(
                address -> IntStream.range(0, callersEach).forEach(each -> load.sendNext(address)));
        return load;
    }

    private void sendNext(String address) {
        if (stopped) {
            runningCallers.countDown();
            return;
        }
        ModelRequest request = requests.apply(sent.getAndIncrement());
        caller.send(address, request)
                .thenAcceptAsync(
                        seen -> {
                            addExchange(new Exchange(address, request, seen));
                            sendNext(address);
                        });
    }

    private synchronized void addExchange(Exchange exchange) {
        exchanges.add(exchange);
        notifyAll();
    }

    /**
     * Waits until so many exchanges of a kind have ended.
     *
     * @param count how many, counted from now
     * @param wanted the kind
     */
    public synchronized void await(int count, Predicate<Exchange> wanted) {
        long target = exchanges.stream().filter(wanted).count() + count;
        while (exchanges.stream().filter(wanted).count() < target) {
            try {
                wait();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /**
     * Stops and waits for what is under way.
     *
     * @return every exchange
     */
    public List<Exchange> stop() {
        stopped = true;
        try {
            runningCallers.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return List.copyOf(exchanges);
    }
}
