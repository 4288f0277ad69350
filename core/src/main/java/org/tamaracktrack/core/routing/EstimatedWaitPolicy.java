package org.tamaracktrack.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.id.TargetId;

/**
 * Two random choices on estimated wait, nearest data centre first, with a preference for the target
 * that probably holds the prompt's prefix in its cache.
 */
public final class EstimatedWaitPolicy implements RoutingPolicy {
    private static final EstimatedWaitPolicy INSTANCE = new EstimatedWaitPolicy();
    private static final double HALF_LIFE_MILLIS = 2_000;
    private static final double UNKNOWN_WAIT_MILLIS = 100;
    private static final double ADAPTER_LOAD_MILLIS = 250;
    private static final double AFFINITY_BOUND = 1.25;
    private static final double AFFINITY_SLACK_MILLIS = 50;

    private EstimatedWaitPolicy() {}

    /**
     * Returns the policy.
     *
     * @return the policy
     */
    public static EstimatedWaitPolicy of() {
        return INSTANCE;
    }

    private record Scored(Candidate candidate, double costMillis) {}

    @Override
    public Optional<TargetId> choose(RoutingQuery query, List<Candidate> candidates, long seed) {
        if (candidates.size() < 2) {
            return candidates.stream().findFirst().map(Candidate::target);
        }
        double mean = meanWaitMillis(candidates);
        List<Scored> scored =
                candidates.stream()
                        .map(candidate -> new Scored(candidate, costMillis(candidate, mean)))
                        .collect(Collectors.toList());
        return affinityHome(query, scored)
                .or(() -> nearestOfTwo(scored, seed))
                .map(choice -> choice.candidate().target());
    }

    private static double meanWaitMillis(List<Candidate> candidates) {
        return candidates.stream()
                .flatMap(candidate -> candidate.hint().stream())
                .mapToLong(Candidate.Hint::waitMillis)
                .average()
                .orElse(UNKNOWN_WAIT_MILLIS);
    }

    // The hint of a target that fell silent says how it was, not how it is. Taken at its word, an
    // idle report would draw every request to a target that has long been busy; so with age the
    // report gives way to the mean of all, which is never less than a floor above zero.
    private static double costMillis(Candidate candidate, double meanWaitMillis) {
        double prior = Math.max(meanWaitMillis, UNKNOWN_WAIT_MILLIS);
        double wait =
                candidate
                        .hint()
                        .map(hint -> faded(hint.waitMillis(), hint.ageMillis(), prior))
                        .orElse(prior);
        // Between two reports every entry daemon would send to the target that looked idle; its
        // own attempts since then are added, so that it sees at least its own part of the herd.
        double own = candidate.unreported() * candidate.serviceMillis() / candidate.concurrency();
        double adapter = candidate.adapterResident() ? 0 : ADAPTER_LOAD_MILLIS;
        return wait + own + adapter;
    }

    private static double faded(long reportedMillis, long ageMillis, double prior) {
        double weight = Math.pow(0.5, Math.max(0, ageMillis) / HALF_LIFE_MILLIS);
        return weight * reportedMillis + (1 - weight) * prior;
    }

    private static Optional<Scored> affinityHome(RoutingQuery query, List<Scored> scored) {
        if (query.prefix().isEmpty()) {
            return Optional.empty();
        }
        long prefix = query.prefix().getAsLong();
        double mean = scored.stream().mapToDouble(Scored::costMillis).average().orElse(0);
        double bound = AFFINITY_BOUND * mean + AFFINITY_SLACK_MILLIS;
        return nearest(scored).stream()
                .max(
                        Comparator.comparingLong(
                                choice -> Mixing.rank(prefix, choice.candidate().target())))
                .filter(home -> home.costMillis() <= bound);
    }

    private static List<Scored> nearest(List<Scored> scored) {
        List<Scored> local =
                scored.stream()
                        .filter(choice -> choice.candidate().distanceMillis() == 0)
                        .collect(Collectors.toList());
        return local.isEmpty() ? scored : local;
    }

    private static Optional<Scored> nearestOfTwo(List<Scored> scored, long seed) {
        Map<Boolean, List<Scored>> byPlace =
                scored.stream()
                        .collect(
                                Collectors.partitioningBy(
                                        choice -> choice.candidate().distanceMillis() == 0));
        return Stream.of(
                        betterOfTwo(byPlace.get(true), seed),
                        betterOfTwo(byPlace.get(false), ~seed))
                .flatMap(Optional::stream)
                .min(Comparator.comparingDouble(EstimatedWaitPolicy::costWithDistance));
    }

    private static double costWithDistance(Scored choice) {
        return choice.costMillis() + choice.candidate().distanceMillis();
    }

    // The least of all is what every entry daemon sees at once and runs to; the better of two
    // random ones spreads them and is nearly as good.
    private static Optional<Scored> betterOfTwo(List<Scored> scored, long seed) {
        if (scored.size() < 2) {
            return scored.stream().findFirst();
        }
        int first = Mixing.index(seed, scored.size());
        int second = (first + 1 + Mixing.index(~seed, scored.size() - 1)) % scored.size();
        return Stream.of(scored.get(first), scored.get(second))
                .min(Comparator.comparingDouble(EstimatedWaitPolicy::costWithDistance));
    }
}
