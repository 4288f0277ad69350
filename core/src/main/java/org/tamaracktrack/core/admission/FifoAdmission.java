package org.tamaracktrack.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.RequestClassId;

/**
 * Starts requests in the order of arrival over all classes and client accounts: the baseline that
 * {@link FairAdmission} is compared with. It enforces only the queue limits and refuses requests
 * whose time limit has passed.
 */
public final class FifoAdmission implements AdmissionPolicy {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final Map<AttemptId, AdmissionRequest> waiting = new LinkedHashMap<>();
    private final Map<AttemptId, Long> startedAt = new HashMap<>();
    private final Map<AttemptId, AdmissionRequest> running = new HashMap<>();
    private final ServiceTimes serviceTimes = ServiceTimes.empty();
    private Set<Need> ready = Set.of();
    private AdmissionLimits limits;

    private FifoAdmission(AdmissionLimits limits) {
        this.limits = limits;
    }

    /**
     * Returns a policy without queued requests.
     *
     * @param limits the limits that the policy enforces
     * @return the policy
     */
    public static FifoAdmission of(AdmissionLimits limits) {
        Objects.requireNonNull(limits, "limits is null");
        return new FifoAdmission(limits);
    }

    @Override
    public List<AdmissionAction> handle(AdmissionMessage message, long nowMillis) {
        Objects.requireNonNull(message, "message is null");
        List<AdmissionAction> actions = new ArrayList<>();
        if (message instanceof AdmissionMessage.Arrived arrived) {
            arrived(arrived.request(), actions);
        } else if (message instanceof AdmissionMessage.Cancelled cancelled) {
            Optional.ofNullable(waiting.get(cancelled.attempt()))
                    .ifPresent(
                            request ->
                                    refuse(request, ErrorCode.CANCELLED_BEFORE_START, -1, actions));
        } else if (message instanceof AdmissionMessage.Ended ended) {
            ended(ended.attempt(), nowMillis);
        } else if (message instanceof AdmissionMessage.ReadyChanged changed) {
            ready = changed.ready();
        } else if (message instanceof AdmissionMessage.NeedDelayed delayed) {
            List.copyOf(waiting.values()).stream()
                    .filter(request -> request.need().equals(Optional.of(delayed.need())))
                    .filter(
                            request ->
                                    nowMillis + delayed.readyInMillis()
                                            > request.firstTokenByMillis())
                    .forEach(
                            request ->
                                    refuse(
                                            request,
                                            ErrorCode.MODEL_NOT_RESIDENT,
                                            RETRY_AFTER_MILLIS,
                                            actions));
        } else if (message instanceof AdmissionMessage.LimitsChanged changed) {
            limits = changed.limits();
        }
        refuseExpired(nowMillis, actions);
        startRequests(nowMillis, actions);
        return actions;
    }

    private void arrived(AdmissionRequest request, List<AdmissionAction> actions) {
        long inClass =
                waiting.values().stream()
                        .filter(each -> each.requestClass().equals(request.requestClass()))
                        .count();
        if (inClass >= limits.limitsOf(request.requestClass()).queueLimit()) {
            actions.add(
                    new AdmissionAction.Refuse(request, ErrorCode.OVERLOADED, RETRY_AFTER_MILLIS));
        } else {
            waiting.put(request.attempt(), request);
        }
    }

    private void ended(AttemptId attempt, long nowMillis) {
        AdmissionRequest request = running.remove(attempt);
        if (request != null) {
            serviceTimes.recordSlotTime(
                    request.requestClass(), nowMillis - startedAt.remove(attempt));
        }
    }

    private void refuse(
            AdmissionRequest request,
            ErrorCode code,
            long retryAfterMillis,
            List<AdmissionAction> actions) {
        waiting.remove(request.attempt());
        actions.add(new AdmissionAction.Refuse(request, code, retryAfterMillis));
    }

    private void refuseExpired(long nowMillis, List<AdmissionAction> actions) {
        waiting.values().stream()
                .filter(request -> nowMillis >= request.firstTokenByMillis())
                .toList()
                .forEach(request -> refuse(request, ErrorCode.DEADLINE_BEFORE_START, -1, actions));
    }

    private void startRequests(long nowMillis, List<AdmissionAction> actions) {
        waiting.values().stream()
                .filter(this::isNeedMet)
                .limit(Math.max(0, limits.concurrency() - running.size()))
                .toList()
                .forEach(
                        request -> {
                            waiting.remove(request.attempt());
                            running.put(request.attempt(), request);
                            startedAt.put(request.attempt(), nowMillis);
                            actions.add(
                                    new AdmissionAction.Start(
                                            request, nowMillis - request.arrivedAtMillis()));
                        });
    }

    private boolean isNeedMet(AdmissionRequest request) {
        return request.need().map(ready::contains).orElse(true);
    }

    @Override
    public Map<RequestClassId, Long> estimatedWaitMillis() {
        int slots = Math.max(1, limits.concurrency());
        int ahead = Math.max(0, waiting.size() + 1 - Math.max(0, slots - running.size()));
        long wait = Math.round(ahead * serviceTimes.meanSlotMillis() / slots);
        return limits.classes().keySet().stream()
                .collect(Collectors.toMap(Function.identity(), id -> wait));
    }

    @Override
    public Set<Need> unmetNeeds() {
        return waiting.values().stream()
                .flatMap(request -> request.need().stream())
                .filter(need -> !ready.contains(need))
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
