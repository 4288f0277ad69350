package org.tamaracktrack.bench.load;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.tamaracktrack.bench.caller.Outcome;
import org.tamaracktrack.bench.measure.LatencyHistogram;

/**
 * The result of one run.
 *
 * @param user the user whose load was run
 * @param scenario the fault or change of demand during the load
 * @param policy the policies of the daemons
 * @param loadFactor the peak demand as a multiple of the request rate that all engines can serve
 *     together
 * @param sentRequests all requests and their results
 * @param moves the number of loads and unloads of models and adapters, by kind and cause
 * @param overcommits the number of orders that overcommitted the memory of an accelerator
 * @param reportDifference a description of the differences between the request report and the
 *     outcomes that callers observed
 * @param speed the speed of the experiment and the costs of a request
 */
public record RunResult(
        UserProfile user,
        Scenario scenario,
        Policy policy,
        double loadFactor,
        List<OpenLoopLoad.SentRequest> sentRequests,
        Map<String, Long> moves,
        int overcommits,
        String reportDifference,
        Speed speed) {

    private static final long INTERACTIVE_FIRST_TOKEN_MILLIS = 2_000;
    private static final long BATCH_FIRST_TOKEN_MILLIS = 60_000;

    /** Checks the arguments. */
    public RunResult {
        Objects.requireNonNull(user, "user is null");
        sentRequests = List.copyOf(sentRequests);
        moves = new TreeMap<>(moves);
    }

    /**
     * Returns whether a request met the latency objective of its request class.
     *
     * @param request the request and its result
     * @return whether the answer was whole and its first token arrived within the objective
     */
    public boolean meetsObjective(OpenLoopLoad.SentRequest request) {
        boolean batch = request.arrival().request().requestClass().equals("batch");
        long objectiveMillis = batch ? BATCH_FIRST_TOKEN_MILLIS : INTERACTIVE_FIRST_TOKEN_MILLIS;
        return request.observation().outcome() == Outcome.WHOLE
                && request.firstByteMillis() <= speed.scaledMillis(objectiveMillis);
    }

    /**
     * Returns the share of requests of a class that met the objective of the class.
     *
     * @param requestClass the request class
     * @return the share of the requests sent, in percent; 100 if none was sent
     */
    public double attainment(String requestClass) {
        return percentage(requestsOfClass(requestClass), this::meetsObjective);
    }

    /**
     * Returns the number of requests that met the objective of their class, per accelerator.
     *
     * @return requests per accelerator
     */
    public double attainedPerAccelerator() {
        return (double) sentRequests.stream().filter(this::meetsObjective).count() / user.engines();
    }

    /**
     * Returns the share of requests that met the objective of their class, by client account.
     *
     * @return the share of the requests of each account, in percent
     */
    public Map<String, Double> attainmentByAccount() {
        return sentRequests.stream()
                .collect(
                        Collectors.groupingBy(
                                request -> request.arrival().request().caller().account(),
                                TreeMap::new,
                                Collectors.collectingAndThen(
                                        Collectors.toList(),
                                        requests -> percentage(requests, this::meetsObjective))));
    }

    /**
     * Returns the number of requests by outcome.
     *
     * @return the counts by outcome and, for errors, by error code
     */
    public Map<String, Long> outcomes() {
        return sentRequests.stream()
                .map(OpenLoopLoad.SentRequest::observation)
                .map(
                        observation ->
                                observation.outcome()
                                        + (observation.code().isEmpty()
                                                ? ""
                                                : ":" + observation.code()))
                .collect(Collectors.groupingBy(name -> name, TreeMap::new, Collectors.counting()));
    }

    /**
     * Returns the times to the first token of whole interactive answers. They are times of the
     * experiment, not scaled back to real hardware.
     *
     * @return the distribution of the times
     */
    public LatencyHistogram firstTokenTimes() {
        LatencyHistogram histogram = LatencyHistogram.empty();
        requestsOfClass("interactive").stream()
                .filter(request -> request.observation().outcome() == Outcome.WHOLE)
                .forEach(request -> histogram.add(request.firstByteMillis()));
        return histogram;
    }

    private List<OpenLoopLoad.SentRequest> requestsOfClass(String requestClass) {
        return sentRequests.stream()
                .filter(request -> request.arrival().request().requestClass().equals(requestClass))
                .toList();
    }

    private static double percentage(
            List<OpenLoopLoad.SentRequest> requests,
            Predicate<OpenLoopLoad.SentRequest> condition) {
        return requests.isEmpty()
                ? 100
                : 100.0 * requests.stream().filter(condition).count() / requests.size();
    }
}
