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
 * Schedules classes by weight, and client accounts by share within a class, each with start-time
 * fair queueing: the queue with the lowest virtual time is served next, and each start advances its
 * virtual time by the estimated tokens divided by its weight or share. Requests that can no longer
 * meet the objectives of their class are refused immediately.
 */
public final class FairAdmission implements AdmissionPolicy {
    private static final long MINIMUM_RETRY_AFTER_MILLIS = 100;
    private static final long MAXIMUM_RETRY_AFTER_MILLIS = 5_000;

    private final Map<RequestClassId, ClassQueue> classes = new HashMap<>();
    private final Map<AttemptId, AdmissionRequest> waiting = new LinkedHashMap<>();
    private final Map<AttemptId, AdmissionRequest> waitingForNeed = new LinkedHashMap<>();
    private final Map<AttemptId, Running> running = new HashMap<>();
    private final Map<ClientAccountId, Integer> runningByAccount = new HashMap<>();
    private final Map<ClientAccountId, Integer> waitingByAccount = new HashMap<>();
    private final Map<RequestClassId, Integer> waitingByClass = new HashMap<>();
    private final ServiceTimes serviceTimes = ServiceTimes.empty();
    private final WaitEstimator waitEstimator = WaitEstimator.create();
    private Set<Need> ready = Set.of();
    private double servedVirtualTime;
    private AdmissionLimits limits;

    private record Candidate(ClassQueue queue, AccountQueue account) {}

    private record Running(AdmissionRequest request, long startedAtMillis) {}

    private FairAdmission(AdmissionLimits limits) {
        this.limits = limits;
    }

    /**
     * Returns a policy without queued requests.
     *
     * @param limits the limits that the policy enforces
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
            arrived(arrived.request(), nowMillis, actions);
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
        startRequests(nowMillis, actions);
        return actions;
    }

    private void arrived(AdmissionRequest request, long nowMillis, List<AdmissionAction> actions) {
        Optional<AdmissionAction> refusal = refusalOnArrival(request, nowMillis);
        if (refusal.isPresent()) {
            actions.add(refusal.get());
            return;
        }
        waiting.put(request.attempt(), request);
        waitingByAccount.merge(request.account(), 1, Integer::sum);
        waitingByClass.merge(request.requestClass(), 1, Integer::sum);
        enqueue(request);
    }

    private Optional<AdmissionAction> refusalOnArrival(AdmissionRequest request, long nowMillis) {
        if (nowMillis >= request.firstTokenByMillis()) {
            return Optional.of(refuse(request, ErrorCode.DEADLINE_BEFORE_START, -1));
        }
        int classWaiting = waitingByClass.getOrDefault(request.requestClass(), 0);
        if (classWaiting >= limits.limitsOf(request.requestClass()).queueLimit()) {
            return Optional.of(
                    refuse(request, ErrorCode.OVERLOADED, estimatedWaitOnArrivalMillis(request)));
        }
        int accountWaiting = waitingByAccount.getOrDefault(request.account(), 0);
        if (accountWaiting >= limits.limitsOf(request.account()).queueLimit()) {
            return Optional.of(
                    refuse(
                            request,
                            ErrorCode.ACCOUNT_LIMIT,
                            estimatedWaitOnArrivalMillis(request)));
        }
        return isNeedMet(request)
                ? refusalIfLate(request, estimatedWaitOnArrivalMillis(request), nowMillis)
                : Optional.empty();
    }

    private Optional<AdmissionAction> refusalIfLate(
            AdmissionRequest request, long waitMillis, long nowMillis) {
        // A request without a queue ahead of it is admitted even if the engine was slow recently:
        // if all requests were refused on old measurements, no new measurement would show that the
        // engine has recovered.
        if (waitMillis <= 0) {
            return Optional.empty();
        }
        long firstTokenAt =
                nowMillis + waitMillis + serviceTimes.firstTokenMillis(request.requestClass());
        return firstTokenAt > request.firstTokenByMillis()
                ? Optional.of(
                        refuse(
                                request,
                                ErrorCode.CANNOT_MEET_CLASS,
                                firstTokenAt - request.firstTokenByMillis()))
                : Optional.empty();
    }

    private void enqueue(AdmissionRequest request) {
        if (isNeedMet(request)) {
            classes.computeIfAbsent(request.requestClass(), ClassQueue::of)
                    .add(request, servedVirtualTime);
        } else {
            waitingForNeed.put(request.attempt(), request);
        }
    }

    private boolean isNeedMet(AdmissionRequest request) {
        return request.need().map(ready::contains).orElse(true);
    }

    private void cancelled(AttemptId attempt, List<AdmissionAction> actions) {
        AdmissionRequest request = waiting.get(attempt);
        if (request != null) {
            removeWaiting(request);
            actions.add(refuse(request, ErrorCode.CANCELLED_BEFORE_START, -1));
        }
    }

    private void removeWaiting(AdmissionRequest request) {
        waiting.remove(request.attempt());
        waitingForNeed.remove(request.attempt());
        waitingByAccount.computeIfPresent(
                request.account(), (id, count) -> count == 1 ? null : count - 1);
        waitingByClass.computeIfPresent(
                request.requestClass(), (id, count) -> count == 1 ? null : count - 1);
        ClassQueue queue = classes.get(request.requestClass());
        if (queue != null) {
            queue.remove(request);
        }
    }

    private void firstToken(AttemptId attempt, long nowMillis) {
        Running started = running.get(attempt);
        if (started != null) {
            serviceTimes.recordFirstToken(
                    started.request().requestClass(), nowMillis - started.startedAtMillis());
        }
    }

    private void ended(AttemptId attempt, OptionalInt tokens, long nowMillis) {
        Running started = running.remove(attempt);
        if (started == null) {
            return;
        }
        AdmissionRequest request = started.request();
        serviceTimes.recordSlotTime(request.requestClass(), nowMillis - started.startedAtMillis());
        runningByAccount.computeIfPresent(
                request.account(), (id, count) -> count == 1 ? null : count - 1);
        classes.get(request.requestClass())
                .requestEnded(
                        request,
                        Math.max(1, tokens.orElse(request.estimatedTokens())),
                        limits.limitsOf(request.requestClass()).weight(),
                        limits.limitsOf(request.account()).share());
    }

    private void readyChanged(Set<Need> newReady) {
        if (newReady.equals(ready)) {
            return;
        }
        ready = newReady;
        List<AdmissionRequest> changed =
                waiting.values().stream()
                        .filter(
                                request ->
                                        waitingForNeed.containsKey(request.attempt())
                                                == isNeedMet(request))
                        .toList();
        changed.forEach(
                request -> {
                    waitingForNeed.remove(request.attempt());
                    Optional.ofNullable(classes.get(request.requestClass()))
                            .ifPresent(queue -> queue.remove(request));
                    enqueue(request);
                });
    }

    private void needDelayed(
            AdmissionMessage.NeedDelayed delayed, long nowMillis, List<AdmissionAction> actions) {
        List<AdmissionRequest> lateRequests =
                waitingForNeed.values().stream()
                        .filter(request -> request.need().equals(Optional.of(delayed.need())))
                        .filter(
                                request ->
                                        nowMillis + delayed.readyInMillis()
                                                > request.firstTokenByMillis())
                        .toList();
        long retryAfterMillis = Math.min(MAXIMUM_RETRY_AFTER_MILLIS, delayed.readyInMillis());
        lateRequests.forEach(this::removeWaiting);
        lateRequests.forEach(
                request ->
                        actions.add(
                                refuse(request, ErrorCode.MODEL_NOT_RESIDENT, retryAfterMillis)));
    }

    // A late request that waited for its turn would cost its caller the time to try another target,
    // and the target a slot for an answer that is no longer useful.
    private void refuseLate(long nowMillis, List<AdmissionAction> actions) {
        classes.values().forEach(ClassQueue::removeIdleAccounts);
        List<AdmissionAction> late =
                Stream.concat(
                                waiting.values().stream()
                                        .filter(
                                                request ->
                                                        nowMillis >= request.firstTokenByMillis())
                                        .map(
                                                request ->
                                                        refuse(
                                                                request,
                                                                ErrorCode.DEADLINE_BEFORE_START,
                                                                -1)),
                                classes.values().stream()
                                        .flatMap(queue -> lateRefusals(queue, nowMillis)))
                        .toList();
        late.stream()
                .filter(action -> waiting.containsKey(action.request().attempt()))
                .forEach(
                        action -> {
                            removeWaiting(action.request());
                            actions.add(action);
                        });
    }

    private Stream<AdmissionAction> lateRefusals(ClassQueue queue, long nowMillis) {
        List<AdmissionRequest> order = queue.inStartOrder(id -> limits.limitsOf(id).share());
        DoubleToLongFunction wait =
                waitEstimator.waitByRank(limits, classes.values(), slots(), queue.requestClass());
        return IntStream.range(0, order.size())
                .mapToObj(
                        index ->
                                refusalIfLate(
                                        order.get(index), wait.applyAsLong(index + 1.0), nowMillis))
                .flatMap(Optional::stream);
    }

    private void startRequests(long nowMillis, List<AdmissionAction> actions) {
        while (running.size() < limits.concurrency()) {
            Optional<Candidate> candidate =
                    classes.values().stream()
                            .filter(queue -> queue.waiting() > 0)
                            .sorted(
                                    Comparator.comparingDouble(ClassQueue::virtualTime)
                                            .thenComparing(ClassQueue::requestClass))
                            .flatMap(
                                    queue ->
                                            queue.next(this::isUnderCap).stream()
                                                    .map(account -> new Candidate(queue, account)))
                            .findFirst();
            if (candidate.isEmpty()) {
                return;
            }
            start(candidate.get().queue(), candidate.get().account(), nowMillis, actions);
        }
    }

    private void start(
            ClassQueue queue, AccountQueue account, long nowMillis, List<AdmissionAction> actions) {
        servedVirtualTime = Math.max(servedVirtualTime, queue.virtualTime());
        AdmissionRequest request =
                queue.start(
                        account,
                        limits.limitsOf(queue.requestClass()).weight(),
                        limits.limitsOf(account.account()).share());
        removeWaiting(request);
        if (nowMillis >= request.firstTokenByMillis()) {
            queue.requestEnded(
                    request,
                    0,
                    limits.limitsOf(queue.requestClass()).weight(),
                    limits.limitsOf(account.account()).share());
            actions.add(refuse(request, ErrorCode.DEADLINE_BEFORE_START, -1));
            return;
        }
        running.put(request.attempt(), new Running(request, nowMillis));
        runningByAccount.merge(request.account(), 1, Integer::sum);
        actions.add(new AdmissionAction.Start(request, nowMillis - request.arrivedAtMillis()));
    }

    private boolean isUnderCap(ClientAccountId account) {
        return runningByAccount.getOrDefault(account, 0) < limits.limitsOf(account).cap();
    }

    private long estimatedWaitOnArrivalMillis(AdmissionRequest request) {
        ClassQueue queue = classes.get(request.requestClass());
        int position =
                queue == null
                        ? 1
                        : 1
                                + queue.accounts().stream()
                                        .filter(each -> each.account().equals(request.account()))
                                        .mapToInt(each -> each.waiting().size())
                                        .sum();
        return estimatedWaitMillisAt(request, position);
    }

    private long estimatedWaitMillisAt(AdmissionRequest request, int position) {
        return waitEstimator.waitMillis(
                limits,
                classes.values(),
                slots(),
                request.requestClass(),
                request.account(),
                position);
    }

    // The running requests decide when the next slot becomes free: a class of short requests queued
    // behind long batch requests waits for those, not for requests of its own class.
    private WaitEstimator.Slots slots() {
        double releasesPerMillisecond =
                running.values().stream()
                        .mapToDouble(
                                queue -> serviceTimes.slotMillis(queue.request().requestClass()))
                        .filter(millis -> millis > 0)
                        .map(millis -> 1 / millis)
                        .sum();
        return new WaitEstimator.Slots(
                Math.max(0, limits.concurrency() - running.size()), releasesPerMillisecond);
    }

    private static AdmissionAction refuse(
            AdmissionRequest request, ErrorCode code, long retryAfterMillis) {
        boolean retryable = code.retryable() && retryAfterMillis >= 0;
        return new AdmissionAction.Refuse(
                request,
                code,
                retryable ? Math.max(MINIMUM_RETRY_AFTER_MILLIS, retryAfterMillis) : -1);
    }

    @Override
    public Map<RequestClassId, Long> estimatedWaitMillis() {
        return limits.classes().keySet().stream()
                .collect(
                        Collectors.toMap(
                                Function.identity(),
                                id ->
                                        waitEstimator.classWaitMillis(
                                                limits, classes.values(), slots(), id)));
    }

    @Override
    public Set<Need> unmetNeeds() {
        return waitingForNeed.values().stream()
                .flatMap(request -> request.need().stream())
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
