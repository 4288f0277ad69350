package org.tamaracktrack.core.admission;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.RequestClassId;

/** Drives an admission policy and remembers what it started for whom. */
final class Works {
    static final RequestClassId SHORT = RequestClassId.of("short");
    static final RequestClassId LONG = RequestClassId.of("long");
    private static final IncarnationId ENTRY = IncarnationId.of("e");
    private static final long PATIENCE_MILLIS = 1_000_000;

    private final AdmissionPolicy policy;
    private final Map<ClientAccountId, Long> startedTokens = new HashMap<>();
    private final Map<RequestClassId, Long> startedByClass = new HashMap<>();
    private final Map<AttemptId, Work> running = new HashMap<>();
    private final ArrayDeque<Work> inOrder = new ArrayDeque<>();
    private long number;

    Works(AdmissionPolicy policy) {
        this.policy = policy;
    }

    static AdmissionLimits limits(int concurrency, int cap, int queueLimit, int... shares) {
        Map<ClientAccountId, AdmissionLimits.AccountLimits> accounts = new HashMap<>();
        for (int index = 0; index < shares.length; index++) {
            accounts.put(
                    account(index),
                    new AdmissionLimits.AccountLimits(shares[index], cap, queueLimit));
        }
        return new AdmissionLimits(
                concurrency,
                Map.of(
                        SHORT, new AdmissionLimits.ClassLimits(3, queueLimit),
                        LONG, new AdmissionLimits.ClassLimits(1, queueLimit)),
                accounts);
    }

    static ClientAccountId account(int index) {
        return ClientAccountId.of("account-" + index);
    }

    Work work(int account, int tokens, long arrivedAt, long patience, Optional<Need> need) {
        return work(account, SHORT, tokens, arrivedAt, patience, need);
    }

    Work work(
            int account,
            RequestClassId requestClass,
            int tokens,
            long arrivedAt,
            long patience,
            Optional<Need> need) {
        return new Work(
                AttemptId.of(ENTRY, number++, 0),
                account(account),
                requestClass,
                tokens,
                arrivedAt,
                arrivedAt + patience,
                need);
    }

    List<AdmissionAction> arrive(Work work, long now) {
        return tell(new AdmissionMessage.Arrived(work), now);
    }

    void arrive(int account, RequestClassId requestClass, int tokens) {
        arrive(work(account, requestClass, tokens, 0, PATIENCE_MILLIS, Optional.empty()), 0);
    }

    List<AdmissionAction> tell(AdmissionMessage message, long now) {
        List<AdmissionAction> actions = policy.handle(message, now);
        actions.stream()
                .filter(action -> action instanceof AdmissionAction.Start)
                .map(AdmissionAction::work)
                .forEach(this::started);
        return actions;
    }

    private void started(Work work) {
        startedTokens.merge(work.account(), (long) work.estimatedTokens(), Long::sum);
        startedByClass.merge(work.requestClass(), (long) work.estimatedTokens(), Long::sum);
        running.put(work.attempt(), work);
        inOrder.add(work);
    }

    /** Ends the request that has run longest; returns it. */
    Work endOldest(OptionalInt tokens, long now) {
        Work work = inOrder.poll();
        running.remove(work.attempt());
        tell(new AdmissionMessage.Ended(work.attempt(), tokens), now);
        return work;
    }

    boolean isAnyRunning() {
        return !inOrder.isEmpty();
    }

    long startedTokens(int account) {
        return startedTokens.getOrDefault(account(account), 0L);
    }

    long startedTokens(RequestClassId requestClass) {
        return startedByClass.getOrDefault(requestClass, 0L);
    }

    long runningOf(int account) {
        return running.values().stream()
                .filter(work -> work.account().equals(account(account)))
                .count();
    }
}
