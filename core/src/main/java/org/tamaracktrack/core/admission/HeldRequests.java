package org.tamaracktrack.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ServiceId;

/**
 * The requests that wait at a daemon for room at a target, bounded in number and bytes, in the
 * order in which they are released: by priority, in time before late, accounts with far more than
 * an equal part behind the others, fair queueing of tokens by client account, and callers that
 * return before new ones. Of equals, urgent work that is in time goes newest first, all other work
 * earliest deadline first.
 *
 * @param <T> identifies a request
 */
public final class HeldRequests<T> {
    private static final Comparator<Ranked<?>> ORDER =
            Comparator.<Ranked<?>>comparingInt(ranked -> ranked.held().terms().priority())
                    .thenComparing(ranked -> ranked.held().late())
                    .thenComparing(Ranked::excessive)
                    .thenComparingDouble(Ranked::virtualTime)
                    .thenComparing(ranked -> !ranked.held().terms().returned())
                    .thenComparingLong(ranked -> ranked.held().dueOrder())
                    .thenComparingLong(ranked -> ranked.held().number());

    private static final Comparator<Held<?>> WITHIN_ACCOUNT =
            Comparator.<Held<?>>comparingInt(held -> held.terms().priority())
                    .thenComparing(Held::late)
                    .thenComparing(held -> !held.terms().returned())
                    .thenComparingLong(Held::dueOrder)
                    .thenComparingLong(Held::number);

    /**
     * A held request.
     *
     * @param id identifies it
     * @param terms its terms
     * @param late whether it is late
     * @param untilMillis when it is decided again at the latest, by the monotonic clock
     * @param number its place in the order of arrival
     * @param <T> identifies a request
     */
    public record Held<T>(T id, RequestTerms terms, boolean late, long untilMillis, long number) {
        // Under a lasting overload, the earliest objective first would send each request just when
        // it becomes late. Urgent work that is still in time goes newest first instead.
        private long dueOrder() {
            return late || terms.isPatient()
                    ? terms.objectiveAtMillis()
                    : -terms.objectiveAtMillis();
        }
    }

    private record Ranked<T>(Held<T> held, boolean excessive, double virtualTime) {}

    private record AccountKey(ServiceId service, Optional<ClientAccountId> account) {
        static AccountKey of(RequestTerms terms) {
            return new AccountKey(terms.service(), terms.account());
        }
    }

    private record ModelKey(ServiceId service, String need) {
        static ModelKey of(RequestTerms terms) {
            return new ModelKey(terms.service(), terms.need());
        }
    }

    private record Rank(int priority, boolean patient) {
        static Rank of(RequestTerms terms) {
            return new Rank(terms.priority(), terms.isPatient());
        }
    }

    private final int maximumRequests;
    private final long maximumBytes;
    private final AccountUsage usage;
    private final Map<T, Held<T>> requests = new LinkedHashMap<>();
    private final Map<AccountKey, Double> virtualTimes = new HashMap<>();
    private final Map<ServiceId, Double> servedVirtualTimes = new HashMap<>();

    /** The number of held requests by model and rank, since each decision asks for higher ranks. */
    private final Map<ModelKey, Map<Rank, Integer>> ranks = new HashMap<>();

    private long bytes;
    private long arrivals;

    private HeldRequests(int maximumRequests, long maximumBytes, AccountUsage usage) {
        this.maximumRequests = maximumRequests;
        this.maximumBytes = maximumBytes;
        this.usage = usage;
    }

    /**
     * Returns an empty set.
     *
     * @param maximumRequests the maximum number of requests
     * @param maximumBytes the maximum size of their bodies together
     * @param usage how much of each service the client accounts use
     * @param <T> identifies a request
     * @return the set
     */
    public static <T> HeldRequests<T> of(
            int maximumRequests, long maximumBytes, AccountUsage usage) {
        Objects.requireNonNull(usage, "usage is null");
        if (maximumRequests < 1 || maximumBytes < 1) {
            throw new IllegalArgumentException(
                    "bounds are not positive: " + maximumRequests + ", " + maximumBytes);
        }
        return new HeldRequests<>(maximumRequests, maximumBytes, usage);
    }

    /**
     * Adds a request, or changes the decision on one that is held.
     *
     * @param id identifies it
     * @param terms its terms, which do not change while it is held
     * @param hold the decision
     * @param nowMillis the monotonic time in milliseconds
     * @return the requests that no longer fit, the least urgent first, which may include this one
     */
    public List<T> add(T id, RequestTerms terms, HoldDecision.Hold hold, long nowMillis) {
        Held<T> known = requests.get(id);
        long number = known == null ? arrivals++ : known.number();
        if (known == null) {
            startAccount(AccountKey.of(terms));
            bytes += terms.bytes();
            ranks.computeIfAbsent(ModelKey.of(terms), key -> new HashMap<>())
                    .merge(Rank.of(terms), 1, Integer::sum);
        }
        RequestTerms kept = known == null ? terms : known.terms();
        requests.put(id, new Held<>(id, kept, hold.late(), hold.untilMillis(), number));
        return fits() ? List.of() : removeLeastUrgent(nowMillis);
    }

    private boolean fits() {
        return requests.size() <= maximumRequests && bytes <= maximumBytes;
    }

    private List<T> removeLeastUrgent(long nowMillis) {
        List<T> removed = new ArrayList<>();
        List<Held<T>> order = inOrder(nowMillis);
        for (int last = order.size() - 1; last >= 0 && !fits(); last--) {
            T id = order.get(last).id();
            remove(id);
            removed.add(id);
        }
        return removed;
    }

    // An account without held requests starts with the virtual time of those being served, so that
    // idle time earns no credit.
    private void startAccount(AccountKey key) {
        double served = servedVirtualTimes.getOrDefault(key.service(), 0.0);
        virtualTimes.merge(key, served, Math::max);
    }

    /**
     * Removes a request that was not sent.
     *
     * @param id identifies it
     * @return what was known of it; empty when it was not held
     */
    public Optional<Held<T>> remove(T id) {
        Held<T> removed = requests.remove(id);
        if (removed != null) {
            bytes -= removed.terms().bytes();
            removeRank(removed.terms());
            removeIdleAccounts();
        }
        return Optional.ofNullable(removed);
    }

    private void removeRank(RequestTerms terms) {
        ranks.computeIfPresent(
                ModelKey.of(terms),
                (key, counts) -> {
                    counts.computeIfPresent(
                            Rank.of(terms), (rank, count) -> count == 1 ? null : count - 1);
                    return counts.isEmpty() ? null : counts;
                });
    }

    /**
     * Removes a request that is sent, and charges its tokens to its account.
     *
     * @param id identifies it
     * @return what was known of it; empty when it was not held
     */
    public Optional<Held<T>> release(T id) {
        Held<T> held = requests.get(id);
        if (held != null) {
            AccountKey key = AccountKey.of(held.terms());
            double virtualTime = virtualTimes.get(key);
            servedVirtualTimes.merge(key.service(), virtualTime, Math::max);
            virtualTimes.put(key, virtualTime + Math.max(1, held.terms().tokens()));
        }
        return remove(id);
    }

    // An account whose virtual time is ahead is kept, or it could reset it by a moment without
    // held requests. When nothing is held, no account competes with another.
    private void removeIdleAccounts() {
        if (requests.isEmpty()) {
            virtualTimes.clear();
            servedVirtualTimes.clear();
        }
    }

    /**
     * Returns the requests in the order of their release.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the requests
     */
    public List<Held<T>> inOrder(long nowMillis) {
        Map<AccountKey, List<Held<T>>> byAccount =
                requests.values().stream()
                        .collect(Collectors.groupingBy(held -> AccountKey.of(held.terms())));
        List<Ranked<T>> ranked = new ArrayList<>(requests.size());
        byAccount.forEach((key, held) -> rank(key, held, nowMillis, ranked));
        return ranked.stream().sorted(ORDER).map(Ranked::held).toList();
    }

    private void rank(AccountKey key, List<Held<T>> held, long nowMillis, List<Ranked<T>> ranked) {
        boolean excessive = isExcessive(key, nowMillis);
        double virtualTime = virtualTimes.get(key);
        for (Held<T> each : held.stream().sorted(WITHIN_ACCOUNT).toList()) {
            ranked.add(new Ranked<>(each, excessive, virtualTime));
            virtualTime += Math.max(1, each.terms().tokens());
        }
    }

    private boolean isExcessive(AccountKey key, long nowMillis) {
        return key.account()
                .filter(id -> usage.excess(key.service(), id, nowMillis) > AccountUsage.MAX_EXCESS)
                .isPresent();
    }

    /**
     * Returns what a request can expect beside those that are held.
     *
     * @param terms its terms
     * @param firstPieceMillis the time to the first piece at its best target, in milliseconds
     * @param room the room at that target
     * @param nowMillis the monotonic time in milliseconds
     * @return its outlook
     */
    public HoldPolicy.Outlook outlook(
            RequestTerms terms, double firstPieceMillis, HoldPolicy.Room room, long nowMillis) {
        return new HoldPolicy.Outlook(
                firstPieceMillis,
                room,
                holdsMoreUrgent(terms),
                isExcessive(AccountKey.of(terms), nowMillis));
    }

    /**
     * Returns the tokens of the held requests of a service that are not less urgent than a request.
     *
     * @param terms the terms of the request
     * @return the number of tokens
     */
    public long tokensAhead(RequestTerms terms) {
        return requests.values().stream()
                .map(Held::terms)
                .filter(other -> other.service().equals(terms.service()))
                .filter(
                        other ->
                                !RequestTerms.isMoreUrgent(
                                        terms.priority(), terms.isPatient(), other))
                .mapToLong(RequestTerms::tokens)
                .sum();
    }

    /**
     * Returns whether a more urgent request for the same model of a service is held.
     *
     * @param terms the terms of a request
     * @return true when one of a higher priority, or for patient work an urgent one, is held
     */
    public boolean holdsMoreUrgent(RequestTerms terms) {
        return ranks.getOrDefault(ModelKey.of(terms), Map.of()).keySet().stream()
                .anyMatch(
                        rank -> RequestTerms.isMoreUrgent(rank.priority(), rank.patient(), terms));
    }

    /**
     * Returns the held requests in the order of their arrival.
     *
     * @return what identifies them
     */
    public List<T> ids() {
        return List.copyOf(requests.keySet());
    }

    /**
     * Returns whether a request is held.
     *
     * @param id identifies it
     * @return true when it is held
     */
    public boolean contains(T id) {
        return requests.containsKey(id);
    }

    /**
     * Returns when the next request has to be decided again.
     *
     * @return the monotonic time in milliseconds; {@code Long.MAX_VALUE} when none is held
     */
    public long nextMillis() {
        return requests.values().stream().mapToLong(Held::untilMillis).min().orElse(Long.MAX_VALUE);
    }

    /**
     * Returns the number of held requests.
     *
     * @return the number
     */
    public int size() {
        return requests.size();
    }

    /**
     * Returns the size of the bodies of the held requests.
     *
     * @return the size in bytes
     */
    public long bytes() {
        return bytes;
    }
}
