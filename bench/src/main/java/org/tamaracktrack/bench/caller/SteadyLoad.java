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

/**
 * Closed-loop load: a fixed number of callers, each of which sends its next request when the
 * previous one has ended, until the load is stopped.
 */
public final class SteadyLoad {
    private final Caller caller = Caller.of();
    private final IntFunction<ModelRequest> requests;
    private final AtomicInteger sentCount = new AtomicInteger();
    private final Queue<Exchange> exchanges = new ConcurrentLinkedQueue<>();
    private final CountDownLatch runningCallers;
    private volatile boolean stopped;

    private SteadyLoad(IntFunction<ModelRequest> requests, int callers) {
        this.requests = requests;
        this.runningCallers = new CountDownLatch(callers);
    }

    /**
     * A request and its result.
     *
     * @param address IP address and port to which it was sent
     * @param request the request
     * @param observation the result as observed by the caller
     */
    public record Exchange(String address, ModelRequest request, Observation observation) {}

    /**
     * Starts the callers.
     *
     * @param addresses IP addresses and ports to send to; each caller uses one of them
     * @param callersPerAddress the number of callers for each address
     * @param requests returns the request with a given sequence number; used by several threads
     * @return the running load
     */
    public static SteadyLoad start(
            List<String> addresses, int callersPerAddress, IntFunction<ModelRequest> requests) {
        Objects.requireNonNull(requests, "requests is null");
        SteadyLoad load = new SteadyLoad(requests, addresses.size() * callersPerAddress);
        addresses.forEach(
                address ->
                        IntStream.range(0, callersPerAddress)
                                .forEach(index -> load.sendNext(address)));
        return load;
    }

    private void sendNext(String address) {
        if (stopped) {
            runningCallers.countDown();
            return;
        }
        ModelRequest request = requests.apply(sentCount.getAndIncrement());
        caller.send(address, request)
                .thenAcceptAsync(
                        observation -> {
                            addExchange(new Exchange(address, request, observation));
                            sendNext(address);
                        });
    }

    private synchronized void addExchange(Exchange exchange) {
        exchanges.add(exchange);
        notifyAll();
    }

    /**
     * Waits until a number of further exchanges that match a filter have ended.
     *
     * @param count the number of matching exchanges, counted from this call
     * @param filter selects the exchanges to count
     */
    public synchronized void await(int count, Predicate<Exchange> filter) {
        long requiredCount = exchanges.stream().filter(filter).count() + count;
        while (exchanges.stream().filter(filter).count() < requiredCount) {
            try {
                wait();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /**
     * Stops the callers and waits until the requests in progress have ended.
     *
     * @return all exchanges since the start
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
