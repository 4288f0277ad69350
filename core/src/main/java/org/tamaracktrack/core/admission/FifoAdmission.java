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
 * First in, first out over all classes and client accounts: the baseline that {@link FairAdmission}
 * is measured against. It keeps the queue bounds and refuses what is past its time, no more.
 */
public final class FifoAdmission implements AdmissionPolicy {
    private static final long RETRY_MILLIS = 1_000;

    private final Map<AttemptId, Work> waiting = new LinkedHashMap<>();
    private final Map<AttemptId, Long> startedAt = new HashMap<>();
    private final Map<AttemptId, Work> running = new HashMap<>();
    private final ServiceTimes times = ServiceTimes.empty();
    private Set<Need> ready = Set.of();
    private AdmissionLimits limits;

    private FifoAdmission(AdmissionLimits limits) {
        this.limits = limits;
    }

    /**
     * Returns a policy with nothing waiting.
     *
     * @param limits the limits it keeps
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
            arrived(arrived.work(), actions);
        } else if (message instanceof AdmissionMessage.Cancelled cancelled) {
            Optional.ofNullable(waiting.get(cancelled.attempt()))
                    .ifPresent(work -> refuse(work, ErrorCode.CANCELLED_BEFORE_START, -1, actions));
        } else if (message instanceof AdmissionMessage.Ended ended) {
            ended(ended.attempt(), nowMillis);
        } else if (message instanceof AdmissionMessage.ReadyChanged changed) {
            ready = changed.ready();
        } else if (message instanceof AdmissionMessage.NeedDelayed delayed) {
            List.copyOf(waiting.values()).stream()
                    .filter(work -> work.need().equals(Optional.of(delayed.need())))
                    .filter(work -> nowMillis + delayed.readyInMillis() > work.firstTokenByMillis())
                    .forEach(
                            work ->
                                    refuse(
                                            work,
                                            ErrorCode.MODEL_NOT_RESIDENT,
                                            RETRY_MILLIS,
                                            actions));
        } else if (message instanceof AdmissionMessage.LimitsChanged changed) {
            limits = changed.limits();
        }
        refuseExpired(nowMillis, actions);
        startWhatFits(nowMillis, actions);
        return actions;
    }

    private void arrived(Work work, List<AdmissionAction> actions) {
        long inClass =
                waiting.values().stream()
                        .filter(each -> each.requestClass().equals(work.requestClass()))
                        .count();
        if (inClass >= limits.limitsOf(work.requestClass()).queueLimit()) {
            actions.add(new AdmissionAction.Refuse(work, ErrorCode.OVERLOADED, RETRY_MILLIS));
        } else {
            waiting.put(work.attempt(), work);
        }
    }

    private void ended(AttemptId attempt, long nowMillis) {
        Work work = running.remove(attempt);
        if (work != null) {
            times.ended(work.requestClass(), nowMillis - startedAt.remove(attempt));
        }
    }

    private void refuse(
            Work work, ErrorCode code, long retryAfterMillis, List<AdmissionAction> actions) {
        waiting.remove(work.attempt());
        actions.add(new AdmissionAction.Refuse(work, code, retryAfterMillis));
    }

    private void refuseExpired(long nowMillis, List<AdmissionAction> actions) {
        waiting.values().stream()
                .filter(work -> nowMillis >= work.firstTokenByMillis())
                .toList()
                .forEach(work -> refuse(work, ErrorCode.DEADLINE_BEFORE_START, -1, actions));
    }

    private void startWhatFits(long nowMillis, List<AdmissionAction> actions) {
        waiting.values().stream()
                .filter(this::isMet)
                .limit(Math.max(0, limits.concurrency() - running.size()))
                .toList()
                .forEach(
                        work -> {
                            waiting.remove(work.attempt());
                            running.put(work.attempt(), work);
                            startedAt.put(work.attempt(), nowMillis);
                            actions.add(
                                    new AdmissionAction.Start(
                                            work, nowMillis - work.arrivedAtMillis()));
                        });
    }

    private boolean isMet(Work work) {
        return work.need().map(ready::contains).orElse(true);
    }

    @Override
    public Map<RequestClassId, Long> estimatedWaitMillis() {
        int slots = Math.max(1, limits.concurrency());
        int ahead = Math.max(0, waiting.size() + 1 - Math.max(0, slots - running.size()));
        long wait = Math.round(ahead * times.meanSlotMillis() / slots);
        return limits.classes().keySet().stream()
                .collect(Collectors.toMap(Function.identity(), id -> wait));
    }

    @Override
    public Set<Need> unmetNeeds() {
        return waiting.values().stream()
                .flatMap(work -> work.need().stream())
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
