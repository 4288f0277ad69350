package org.tamaracktrack.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.id.TargetId;

/**
 * Selects the better of two random candidates by estimated wait, in the local data centre and in
 * the others, with the distance added to the wait. Prefers the target that probably has the
 * prompt's prefix in its cache, unless its wait is too long.
 */
public final class EstimatedWaitPolicy implements RoutingPolicy {
    private static final EstimatedWaitPolicy INSTANCE = new EstimatedWaitPolicy();
    private static final double HINT_HALF_LIFE_MILLIS = 2_000;
    private static final double UNKNOWN_WAIT_MILLIS = 100;
    private static final double ADAPTER_LOAD_MILLIS = 250;
    private static final double AFFINITY_COST_FACTOR = 1.25;
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
        return affinityTarget(query, scored)
                .or(() -> bestByDataCentre(scored, seed))
                .map(choice -> choice.candidate().target());
    }

    private static double meanWaitMillis(List<Candidate> candidates) {
        return candidates.stream()
                .flatMap(candidate -> candidate.hint().stream())
                .mapToLong(Candidate.Hint::waitMillis)
                .average()
                .orElse(UNKNOWN_WAIT_MILLIS);
    }

    // A target that has stopped reporting leaves an outdated hint. If it were used unchanged, an
    // idle report would attract every request to a target that has long been busy. The weight of
    // the hint therefore decays with its age towards the mean of all hints, which is never less
    // than a floor above zero.
    private static double costMillis(Candidate candidate, double meanWaitMillis) {
        double fallbackMillis = Math.max(meanWaitMillis, UNKNOWN_WAIT_MILLIS);
        double waitMillis =
                candidate
                        .hint()
                        .map(hint -> decayed(hint.waitMillis(), hint.ageMillis(), fallbackMillis))
                        .orElse(fallbackMillis);
        // Between two reports every entry daemon would send its requests to the target that
        // appeared idle. The daemon's own unreported attempts are added, so that it accounts at
        // least for its own part of this load.
        double unreportedMillis =
                candidate.unreported() * candidate.serviceMillis() / candidate.concurrency();
        double adapterMillis = candidate.adapterResident() ? 0 : ADAPTER_LOAD_MILLIS;
        return waitMillis + unreportedMillis + adapterMillis;
    }

    private static double decayed(long reportedMillis, long ageMillis, double fallbackMillis) {
        double weight = Math.pow(0.5, Math.max(0, ageMillis) / HINT_HALF_LIFE_MILLIS);
        return weight * reportedMillis + (1 - weight) * fallbackMillis;
    }

    private static Optional<Scored> affinityTarget(RoutingQuery query, List<Scored> scored) {
        if (query.prefix().isEmpty()) {
            return Optional.empty();
        }
        long prefix = query.prefix().getAsLong();
        double mean = scored.stream().mapToDouble(Scored::costMillis).average().orElse(0);
        double bound = AFFINITY_COST_FACTOR * mean + AFFINITY_SLACK_MILLIS;
        return localOrAll(scored).stream()
                .max(
                        Comparator.comparingLong(
                                choice -> SeededHash.rank(prefix, choice.candidate().target())))
                .filter(target -> target.costMillis() <= bound);
    }

    private static List<Scored> localOrAll(List<Scored> scored) {
        List<Scored> local =
                scored.stream()
                        .filter(choice -> choice.candidate().distanceMillis() == 0)
                        .collect(Collectors.toList());
        return local.isEmpty() ? scored : local;
    }

    private static Optional<Scored> bestByDataCentre(List<Scored> scored, long seed) {
        Map<Boolean, List<Scored>> byLocality =
                scored.stream()
                        .collect(
                                Collectors.partitioningBy(
                                        choice -> choice.candidate().distanceMillis() == 0));
        return Stream.of(
                        betterOfTwo(byLocality.get(true), seed),
                        betterOfTwo(byLocality.get(false), ~seed))
                .flatMap(Optional::stream)
                .min(Comparator.comparingDouble(EstimatedWaitPolicy::costWithDistance));
    }

    private static double costWithDistance(Scored choice) {
        return choice.costMillis() + choice.candidate().distanceMillis();
    }

    // All entry daemons see the same candidate with the lowest cost and would all select it at the
    // same time. The better of two random candidates distributes the load and is nearly as good.
    private static Optional<Scored> betterOfTwo(List<Scored> scored, long seed) {
        if (scored.size() < 2) {
            return scored.stream().findFirst();
        }
        int first = SeededHash.index(seed, scored.size());
        int second = (first + 1 + SeededHash.index(~seed, scored.size() - 1)) % scored.size();
        return Stream.of(scored.get(first), scored.get(second))
                .min(Comparator.comparingDouble(EstimatedWaitPolicy::costWithDistance));
    }
}
