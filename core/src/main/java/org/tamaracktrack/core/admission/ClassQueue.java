package org.tamaracktrack.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.RequestClassId;

/**
 * The queues of the client accounts that have requests of one class, and the virtual time of the
 * class.
 */
final class ClassQueue {
    private static final Comparator<AccountQueue> BY_VIRTUAL_TIME =
            Comparator.comparingDouble(AccountQueue::virtualTime)
                    .thenComparing(AccountQueue::account);

    private record ScheduledRequest(double virtualTime, AdmissionRequest request) {}

    private final RequestClassId requestClass;
    private final Map<ClientAccountId, AccountQueue> accounts = new HashMap<>();
    private double virtualTime;
    private double servedVirtualTime;
    private int waiting;

    private ClassQueue(RequestClassId requestClass) {
        this.requestClass = requestClass;
    }

    static ClassQueue of(RequestClassId requestClass) {
        return new ClassQueue(requestClass);
    }

    RequestClassId requestClass() {
        return requestClass;
    }

    double virtualTime() {
        return virtualTime;
    }

    int waiting() {
        return waiting;
    }

    Collection<AccountQueue> accounts() {
        return accounts.values();
    }

    void add(AdmissionRequest request, double classesServedVirtualTime) {
        if (waiting == 0) {
            virtualTime = Math.max(virtualTime, classesServedVirtualTime);
        }
        accounts.computeIfAbsent(request.account(), id -> AccountQueue.of(id, servedVirtualTime))
                .add(request, servedVirtualTime);
        waiting++;
    }

    boolean remove(AdmissionRequest request) {
        AccountQueue queue = accounts.get(request.account());
        if (queue == null || queue.waiting().remove(request.attempt()) == null) {
            return false;
        }
        waiting--;
        removeIfIdle(queue);
        return true;
    }

    Optional<AccountQueue> next(Predicate<ClientAccountId> mayStart) {
        return accounts.values().stream()
                .filter(queue -> !queue.waiting().isEmpty())
                .filter(queue -> mayStart.test(queue.account()))
                .min(BY_VIRTUAL_TIME);
    }

    /**
     * Returns the waiting requests in the order in which they would start if no further ones
     * arrived.
     */
    List<AdmissionRequest> inStartOrder(ToIntFunction<ClientAccountId> shareOf) {
        List<ScheduledRequest> scheduled = new ArrayList<>(waiting);
        accounts.values()
                .forEach(
                        queue ->
                                addScheduled(
                                        queue, shareOf.applyAsInt(queue.account()), scheduled));
        return scheduled.stream()
                .sorted(Comparator.comparingDouble(ScheduledRequest::virtualTime))
                .map(ScheduledRequest::request)
                .toList();
    }

    private static void addScheduled(
            AccountQueue queue, int share, List<ScheduledRequest> scheduled) {
        double virtualTime = queue.virtualTime();
        for (AdmissionRequest request : queue.waiting().values()) {
            scheduled.add(new ScheduledRequest(virtualTime, request));
            virtualTime += (double) request.estimatedTokens() / share;
        }
    }

    AdmissionRequest start(AccountQueue queue, int weight, int share) {
        servedVirtualTime = Math.max(servedVirtualTime, queue.virtualTime());
        AdmissionRequest request = queue.removeFirst();
        waiting--;
        queue.charge((double) request.estimatedTokens() / share);
        virtualTime += (double) request.estimatedTokens() / weight;
        return request;
    }

    void requestEnded(AdmissionRequest request, int actualTokens, int weight, int share) {
        int correction = actualTokens - request.estimatedTokens();
        virtualTime += (double) correction / weight;
        AccountQueue queue = accounts.get(request.account());
        if (queue != null) {
            queue.charge((double) correction / share);
            queue.requestEnded();
            removeIfIdle(queue);
        }
    }

    // Removes the queues of idle accounts to bound the memory. An account whose virtual time is
    // ahead is kept, or it could reset its virtual time by being idle for a moment.
    private void removeIfIdle(AccountQueue queue) {
        if (queue.isIdle() && queue.virtualTime() <= servedVirtualTime) {
            accounts.remove(queue.account());
        }
    }

    void removeIdleAccounts() {
        accounts.values()
                .removeIf(queue -> queue.isIdle() && queue.virtualTime() <= servedVirtualTime);
    }
}
