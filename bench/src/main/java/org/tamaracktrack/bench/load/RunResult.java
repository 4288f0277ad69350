package org.tamaracktrack.bench.load;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.tamaracktrack.bench.caller.Outcome;
import org.tamaracktrack.bench.measure.Quantiles;

/**
 * What one run gave.
 *
 * @param user whose load it was
 * @param scenario what went wrong
 * @param policy what the daemons decided by
 * @param loadFactor demand at the peak against what the engines could run at best
 * @param answered every request and what its caller saw
 * @param moves moves by kind
 * @param overcommits orders that overcommitted memory
 * @param reportDifference how the report differs from what callers saw, in words
 * @param speed how fast the experiment ran
 */
public record RunResult(
        UserProfile user,
        Scenario scenario,
        Policy policy,
        double loadFactor,
        List<OpenLoad.Answered> answered,
        Map<String, Long> moves,
        int overcommits,
        String reportDifference,
        Speed speed) {

    private static final long INTERACTIVE_FIRST_TOKEN_MILLIS = 2_000;
    private static final long BATCH_FIRST_TOKEN_MILLIS = 60_000;

    /** Checks the arguments. */
    public RunResult {
        Objects.requireNonNull(user, "user is null");
        answered = List.copyOf(answered);
        moves = new TreeMap<>(moves);
    }

    /**
     * Returns whether a request was served within its class.
     *
     * @param request the request and what its caller saw
     * @return whether its first token came in time and its answer was whole
     */
    public boolean inClass(OpenLoad.Answered request) {
        boolean batch = request.arrival().request().requestClass().equals("batch");
        long objective = batch ? BATCH_FIRST_TOKEN_MILLIS : INTERACTIVE_FIRST_TOKEN_MILLIS;
        return request.seen().outcome() == Outcome.WHOLE
                && request.firstByteMillis() <= speed.compressed(objective);
    }

    /**
     * Returns the requests of a class that were served within it.
     *
     * @param requestClass the class
     * @return the part of those sent, in percent
     */
    public double attainment(String requestClass) {
        return percent(ofClass(requestClass), this::inClass);
    }

    /**
     * Returns the requests served within their class for each accelerator.
     *
     * @return how many
     */
    public double attainedPerAccelerator() {
        return (double) answered.stream().filter(this::inClass).count() / user.engines();
    }

    /**
     * Returns what each client account got.
     *
     * @return the part of its requests served within their class, in percent, by account
     */
    public Map<String, Double> attainmentByAccount() {
        return answered.stream()
                .collect(
                        Collectors.groupingBy(
                                request -> request.arrival().request().caller().account(),
                                TreeMap::new,
                                Collectors.collectingAndThen(
                                        Collectors.toList(),
                                        requests -> percent(requests, this::inClass))));
    }

    /**
     * Returns how many requests ended in each way.
     *
     * @return counts by outcome, and by code for errors
     */
    public Map<String, Long> outcomes() {
        return answered.stream()
                .map(OpenLoad.Answered::seen)
                .map(seen -> seen.outcome() + (seen.code().isEmpty() ? "" : ":" + seen.code()))
                .collect(Collectors.groupingBy(name -> name, TreeMap::new, Collectors.counting()));
    }

    /**
     * Returns the times to the first token of whole interactive answers, in the experiment.
     *
     * @return the times
     */
    public Quantiles firstTokens() {
        Quantiles quantiles = Quantiles.empty();
        ofClass("interactive").stream()
                .filter(request -> request.seen().outcome() == Outcome.WHOLE)
                .forEach(request -> quantiles.add(request.firstByteMillis()));
        return quantiles;
    }

    private List<OpenLoad.Answered> ofClass(String requestClass) {
        return answered.stream()
                .filter(request -> request.arrival().request().requestClass().equals(requestClass))
                .toList();
    }

    private static double percent(
            List<OpenLoad.Answered> requests, Predicate<OpenLoad.Answered> counted) {
        return requests.isEmpty()
                ? 100
                : 100.0 * requests.stream().filter(counted).count() / requests.size();
    }
}
