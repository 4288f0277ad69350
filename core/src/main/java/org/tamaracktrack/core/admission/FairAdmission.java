package org.tamaracktrack.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.DoubleToLongFunction;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.RequestClassId;

/**
 * Classes by weight, and client accounts by share inside a class, each by start-time fair queueing:
 * the one with the least virtual time goes next, and a start costs it its estimated tokens divided
 * by its weight. Work that can no longer meet its class is refused at once.
 */
public final class FairAdmission implements AdmissionPolicy {
    private static final long SHORTEST_RETRY_MILLIS = 100;
    private static final long LONGEST_RETRY_MILLIS = 5_000;

    private final Map<RequestClassId, ClassQueue> classes = new HashMap<>();
    private final Map<AttemptId, Work> waiting = new LinkedHashMap<>();
    private final Map<AttemptId, Work> unmet = new LinkedHashMap<>();
    private final Map<AttemptId, Running> running = new HashMap<>();
    private final Map<ClientAccountId, Integer> runningByAccount = new HashMap<>();
    private final Map<ClientAccountId, Integer> waitingByAccount = new HashMap<>();
    private final Map<RequestClassId, Integer> waitingByClass = new HashMap<>();
    private final ServiceTimes times = ServiceTimes.empty();
    private final WaitEstimate estimate = WaitEstimate.create();
    private Set<Need> ready = Set.of();
    private double servedUpTo;
    private AdmissionLimits limits;

    private record Next(ClassQueue queue, AccountQueue account) {}

    private record Running(Work work, long startedAtMillis) {}

    private FairAdmission(AdmissionLimits limits) {
        this.limits = limits;
    }

    /**
     * Returns a policy with nothing waiting.
     *
     * @param limits the limits it keeps
     * @return the policy
     */
    public static FairAdmission of(AdmissionLimits limits) {
        Objects.requireNonNull(limits, "limits is null");
        return new FairAdmission(limits);
    }

    @Override
    public List<AdmissionAction> handle(AdmissionMessage message, long nowMillis) {
        Objects.requireNonNull(message, "message is null");
        List<AdmissionAction> actions = new ArrayList<>();
        if (message instanceof AdmissionMessage.Arrived arrived) {
            arrived(arrived.work(), nowMillis, actions);
        } else if (message instanceof AdmissionMessage.Cancelled cancelled) {
            cancelled(cancelled.attempt(), actions);
        } else if (message instanceof AdmissionMessage.FirstToken first) {
            firstToken(first.attempt(), nowMillis);
        } else if (message instanceof AdmissionMessage.Ended ended) {
            ended(ended.attempt(), ended.tokens(), nowMillis);
        } else if (message instanceof AdmissionMessage.ReadyChanged changed) {
            readyChanged(changed.ready());
        } else if (message instanceof AdmissionMessage.NeedDelayed delayed) {
            needDelayed(delayed, nowMillis, actions);
        } else if (message instanceof AdmissionMessage.LimitsChanged changed) {
            limits = changed.limits();
        } else {
            refuseLate(nowMillis, actions);
        }
        startWhatFits(nowMillis, actions);
        return actions;
    }

    private void arrived(Work work, long nowMillis, List<AdmissionAction> actions) {
        Optional<AdmissionAction> refusal = refusalOnArrival(work, nowMillis);
        if (refusal.isPresent()) {
            actions.add(refusal.get());
            return;
        }
        waiting.put(work.attempt(), work);
        waitingByAccount.merge(work.account(), 1, Integer::sum);
        waitingByClass.merge(work.requestClass(), 1, Integer::sum);
        enqueue(work);
    }

    private Optional<AdmissionAction> refusalOnArrival(Work work, long nowMillis) {
        if (nowMillis >= work.firstTokenByMillis()) {
            return Optional.of(refuse(work, ErrorCode.DEADLINE_BEFORE_START, -1));
        }
        int classWaiting = waitingByClass.getOrDefault(work.requestClass(), 0);
        if (classWaiting >= limits.limitsOf(work.requestClass()).queueLimit()) {
            return Optional.of(refuse(work, ErrorCode.OVERLOADED, waitOfNew(work)));
        }
        int accountWaiting = waitingByAccount.getOrDefault(work.account(), 0);
        if (accountWaiting >= limits.limitsOf(work.account()).queueLimit()) {
            return Optional.of(refuse(work, ErrorCode.ACCOUNT_LIMIT, waitOfNew(work)));
        }
        return isMet(work) ? tooLate(work, waitOfNew(work), nowMillis) : Optional.empty();
    }

    private Optional<AdmissionAction> tooLate(Work work, long waitMillis, long nowMillis) {
        // With no wait ahead the request is tried even if the engine was slow of late: if all were
        // refused on old figures, no new figure would ever show that the engine has recovered.
        if (waitMillis <= 0) {
            return Optional.empty();
        }
        long firstTokenAt = nowMillis + waitMillis + times.firstTokenMillis(work.requestClass());
        return firstTokenAt > work.firstTokenByMillis()
                ? Optional.of(
                        refuse(
                                work,
                                ErrorCode.CANNOT_MEET_CLASS,
                                firstTokenAt - work.firstTokenByMillis()))
                : Optional.empty();
    }

    private void enqueue(Work work) {
        if (isMet(work)) {
            classes.computeIfAbsent(work.requestClass(), ClassQueue::of).add(work, servedUpTo);
        } else {
            unmet.put(work.attempt(), work);
        }
    }

    private boolean isMet(Work work) {
        return work.need().map(ready::contains).orElse(true);
    }

    private void cancelled(AttemptId attempt, List<AdmissionAction> actions) {
        Work work = waiting.get(attempt);
        if (work != null) {
            forget(work);
            actions.add(refuse(work, ErrorCode.CANCELLED_BEFORE_START, -1));
        }
    }

    private void forget(Work work) {
        waiting.remove(work.attempt());
        unmet.remove(work.attempt());
        waitingByAccount.computeIfPresent(
                work.account(), (id, count) -> count == 1 ? null : count - 1);
        waitingByClass.computeIfPresent(
                work.requestClass(), (id, count) -> count == 1 ? null : count - 1);
        ClassQueue queue = classes.get(work.requestClass());
        if (queue != null) {
            queue.remove(work);
        }
    }

    private void firstToken(AttemptId attempt, long nowMillis) {
        Running seen = running.get(attempt);
        if (seen != null) {
            times.firstToken(seen.work().requestClass(), nowMillis - seen.startedAtMillis());
        }
    }

    private void ended(AttemptId attempt, OptionalInt tokens, long nowMillis) {
        Running seen = running.remove(attempt);
        if (seen == null) {
            return;
        }
        Work work = seen.work();
        times.ended(work.requestClass(), nowMillis - seen.startedAtMillis());
        runningByAccount.computeIfPresent(
                work.account(), (id, count) -> count == 1 ? null : count - 1);
        classes.get(work.requestClass())
                .ended(
                        work,
                        Math.max(1, tokens.orElse(work.estimatedTokens())),
                        limits.limitsOf(work.requestClass()).weight(),
                        limits.limitsOf(work.account()).share());
    }

    private void readyChanged(Set<Need> now) {
        if (now.equals(ready)) {
            return;
        }
        ready = now;
        List<Work> moved =
                waiting.values().stream()
                        .filter(work -> unmet.containsKey(work.attempt()) == isMet(work))
                        .toList();
        moved.forEach(
                work -> {
                    unmet.remove(work.attempt());
                    Optional.ofNullable(classes.get(work.requestClass()))
                            .ifPresent(queue -> queue.remove(work));
                    enqueue(work);
                });
    }

    private void needDelayed(
            AdmissionMessage.NeedDelayed delayed, long nowMillis, List<AdmissionAction> actions) {
        List<Work> hopeless =
                unmet.values().stream()
                        .filter(work -> work.need().equals(Optional.of(delayed.need())))
                        .filter(
                                work ->
                                        nowMillis + delayed.readyInMillis()
                                                > work.firstTokenByMillis())
                        .toList();
        long retryAfterMillis = Math.min(LONGEST_RETRY_MILLIS, delayed.readyInMillis());
        hopeless.forEach(this::forget);
        hopeless.forEach(
                work -> actions.add(refuse(work, ErrorCode.MODEL_NOT_RESIDENT, retryAfterMillis)));
    }

    // Held back until its turn, a late request would cost its caller the time to try elsewhere and
    // the target a slot for an answer that no longer counts.
    private void refuseLate(long nowMillis, List<AdmissionAction> actions) {
        classes.values().forEach(ClassQueue::forgetIdle);
        List<AdmissionAction> late =
                Stream.concat(
                                waiting.values().stream()
                                        .filter(work -> nowMillis >= work.firstTokenByMillis())
                                        .map(
                                                work ->
                                                        refuse(
                                                                work,
                                                                ErrorCode.DEADLINE_BEFORE_START,
                                                                -1)),
                                classes.values().stream()
                                        .flatMap(queue -> hopeless(queue, nowMillis)))
                        .toList();
        late.stream()
                .filter(action -> waiting.containsKey(action.work().attempt()))
                .forEach(
                        action -> {
                            forget(action.work());
                            actions.add(action);
                        });
    }

    private Stream<AdmissionAction> hopeless(ClassQueue queue, long nowMillis) {
        List<Work> order = queue.inStartOrder(id -> limits.limitsOf(id).share());
        DoubleToLongFunction wait =
                estimate.byRank(limits, classes.values(), slots(), queue.requestClass());
        return IntStream.range(0, order.size())
                .mapToObj(
                        index ->
                                tooLate(order.get(index), wait.applyAsLong(index + 1.0), nowMillis))
                .flatMap(Optional::stream);
    }

    private void startWhatFits(long nowMillis, List<AdmissionAction> actions) {
        while (running.size() < limits.concurrency()) {
            Optional<Next> next =
                    classes.values().stream()
                            .filter(queue -> queue.waiting() > 0)
                            .sorted(
                                    Comparator.comparingDouble(ClassQueue::virtualTime)
                                            .thenComparing(ClassQueue::requestClass))
                            .flatMap(
                                    queue ->
                                            queue.next(this::underCap).stream()
                                                    .map(account -> new Next(queue, account)))
                            .findFirst();
            if (next.isEmpty()) {
                return;
            }
            start(next.get().queue(), next.get().account(), nowMillis, actions);
        }
    }

    private void start(
            ClassQueue queue, AccountQueue account, long nowMillis, List<AdmissionAction> actions) {
        servedUpTo = Math.max(servedUpTo, queue.virtualTime());
        Work work =
                queue.start(
                        account,
                        limits.limitsOf(queue.requestClass()).weight(),
                        limits.limitsOf(account.account()).share());
        forget(work);
        if (nowMillis >= work.firstTokenByMillis()) {
            queue.ended(
                    work,
                    0,
                    limits.limitsOf(queue.requestClass()).weight(),
                    limits.limitsOf(account.account()).share());
            actions.add(refuse(work, ErrorCode.DEADLINE_BEFORE_START, -1));
            return;
        }
        running.put(work.attempt(), new Running(work, nowMillis));
        runningByAccount.merge(work.account(), 1, Integer::sum);
        actions.add(new AdmissionAction.Start(work, nowMillis - work.arrivedAtMillis()));
    }

    private boolean underCap(ClientAccountId account) {
        return runningByAccount.getOrDefault(account, 0) < limits.limitsOf(account).cap();
    }

    private long waitOfNew(Work work) {
        ClassQueue queue = classes.get(work.requestClass());
        int position =
                queue == null
                        ? 1
                        : 1
                                + queue.accounts().stream()
                                        .filter(each -> each.account().equals(work.account()))
                                        .mapToInt(each -> each.waiting().size())
                                        .sum();
        return waitAt(work, position);
    }

    private long waitAt(Work work, int position) {
        return estimate.waitMillis(
                limits, classes.values(), slots(), work.requestClass(), work.account(), position);
    }

    // What runs now decides when the next slot is free: a short class behind long batches waits for
    // those, not for its own kind.
    private WaitEstimate.Slots slots() {
        double releasesPerMilli =
                running.values().stream()
                        .mapToDouble(each -> times.slotMillis(each.work().requestClass()))
                        .filter(millis -> millis > 0)
                        .map(millis -> 1 / millis)
                        .sum();
        return new WaitEstimate.Slots(
                Math.max(0, limits.concurrency() - running.size()), releasesPerMilli);
    }

    private static AdmissionAction refuse(Work work, ErrorCode code, long retryAfterMillis) {
        boolean retryable = code.retryable() && retryAfterMillis >= 0;
        return new AdmissionAction.Refuse(
                work, code, retryable ? Math.max(SHORTEST_RETRY_MILLIS, retryAfterMillis) : -1);
    }

    @Override
    public Map<RequestClassId, Long> estimatedWaitMillis() {
        return limits.classes().keySet().stream()
                .collect(
                        Collectors.toMap(
                                Function.identity(),
                                id ->
                                        estimate.classWaitMillis(
                                                limits, classes.values(), slots(), id)));
    }

    @Override
    public Set<Need> unmetNeeds() {
        return unmet.values().stream()
                .flatMap(work -> work.need().stream())
                .collect(Collectors.toCollection(LinkedHashSet::new));
    }

    @Override
    public int running() {
        return running.size();
    }

    @Override
    public int queued() {
        return waiting.size();
    }
}
