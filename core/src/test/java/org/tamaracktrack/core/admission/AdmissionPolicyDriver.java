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

/** Drives an admission policy and records which requests it started for which account and class. */
final class AdmissionPolicyDriver {
    static final RequestClassId SHORT = RequestClassId.of("short");
    static final RequestClassId LONG = RequestClassId.of("long");
    private static final IncarnationId ENTRY = IncarnationId.of("e");
    private static final long LONG_WAIT_LIMIT_MILLIS = 1_000_000;

    private final AdmissionPolicy policy;
    private final Map<ClientAccountId, Long> startedTokens = new HashMap<>();
    private final Map<RequestClassId, Long> startedByClass = new HashMap<>();
    private final Map<AttemptId, AdmissionRequest> running = new HashMap<>();
    private final ArrayDeque<AdmissionRequest> runningInStartOrder = new ArrayDeque<>();
    private long nextRequestNumber;

    AdmissionPolicyDriver(AdmissionPolicy policy) {
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

    AdmissionRequest newRequest(
            int account,
            int tokens,
            long arrivedAtMillis,
            long waitLimitMillis,
            Optional<Need> need) {
        return newRequest(account, SHORT, tokens, arrivedAtMillis, waitLimitMillis, need);
    }

    AdmissionRequest newRequest(
            int account,
            RequestClassId requestClass,
            int tokens,
            long arrivedAtMillis,
            long waitLimitMillis,
            Optional<Need> need) {
        return new AdmissionRequest(
                AttemptId.of(ENTRY, nextRequestNumber++, 0),
                account(account),
                requestClass,
                tokens,
                arrivedAtMillis,
                arrivedAtMillis + waitLimitMillis,
                need);
    }

    List<AdmissionAction> arrive(AdmissionRequest request, long nowMillis) {
        return handle(new AdmissionMessage.Arrived(request), nowMillis);
    }

    void arrive(int account, RequestClassId requestClass, int tokens) {
        arrive(
                newRequest(
                        account, requestClass, tokens, 0, LONG_WAIT_LIMIT_MILLIS, Optional.empty()),
                0);
    }

    List<AdmissionAction> handle(AdmissionMessage message, long nowMillis) {
        List<AdmissionAction> actions = policy.handle(message, nowMillis);
        actions.stream()
                .filter(action -> action instanceof AdmissionAction.Start)
                .map(AdmissionAction::request)
                .forEach(this::started);
        return actions;
    }

    private void started(AdmissionRequest request) {
        startedTokens.merge(request.account(), (long) request.estimatedTokens(), Long::sum);
        startedByClass.merge(request.requestClass(), (long) request.estimatedTokens(), Long::sum);
        running.put(request.attempt(), request);
        runningInStartOrder.add(request);
    }

    /** Ends the request that has run longest and returns it. */
    AdmissionRequest endOldest(OptionalInt tokens, long nowMillis) {
        AdmissionRequest request = runningInStartOrder.poll();
        running.remove(request.attempt());
        handle(new AdmissionMessage.Ended(request.attempt(), tokens), nowMillis);
        return request;
    }

    boolean isAnyRunning() {
        return !runningInStartOrder.isEmpty();
    }

    long startedTokens(int account) {
        return startedTokens.getOrDefault(account(account), 0L);
    }

    long startedTokens(RequestClassId requestClass) {
        return startedByClass.getOrDefault(requestClass, 0L);
    }

    long runningOf(int account) {
        return running.values().stream()
                .filter(request -> request.account().equals(account(account)))
                .count();
    }
}
