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

/** The client accounts that have requests of one class, and the class's own virtual time. */
final class ClassQueue {
    private static final Comparator<AccountQueue> NEXT =
            Comparator.comparingDouble(AccountQueue::virtualTime)
                    .thenComparing(AccountQueue::account);

    private record Tagged(double virtualTime, Work work) {}

    private final RequestClassId requestClass;
    private final Map<ClientAccountId, AccountQueue> accounts = new HashMap<>();
    private double virtualTime;
    private double servedUpTo;
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

    void add(Work work, double classesServedUpTo) {
        if (waiting == 0) {
            virtualTime = Math.max(virtualTime, classesServedUpTo);
        }
        accounts.computeIfAbsent(work.account(), id -> AccountQueue.of(id, servedUpTo))
                .add(work, servedUpTo);
        waiting++;
    }

    boolean remove(Work work) {
        AccountQueue queue = accounts.get(work.account());
        if (queue == null || queue.waiting().remove(work.attempt()) == null) {
            return false;
        }
        waiting--;
        forgetIfIdle(queue);
        return true;
    }

    Optional<AccountQueue> next(Predicate<ClientAccountId> mayStart) {
        return accounts.values().stream()
                .filter(queue -> !queue.waiting().isEmpty())
                .filter(queue -> mayStart.test(queue.account()))
                .min(NEXT);
    }

    /** The waiting requests in the order in which they would start if no more came. */
    List<Work> inStartOrder(ToIntFunction<ClientAccountId> shareOf) {
        List<Tagged> tagged = new ArrayList<>(waiting);
        accounts.values().forEach(queue -> tag(queue, shareOf.applyAsInt(queue.account()), tagged));
        return tagged.stream()
                .sorted(Comparator.comparingDouble(Tagged::virtualTime))
                .map(Tagged::work)
                .toList();
    }

    private static void tag(AccountQueue queue, int share, List<Tagged> tagged) {
        double virtualTime = queue.virtualTime();
        for (Work work : queue.waiting().values()) {
            tagged.add(new Tagged(virtualTime, work));
            virtualTime += (double) work.estimatedTokens() / share;
        }
    }

    Work start(AccountQueue queue, int weight, int share) {
        servedUpTo = Math.max(servedUpTo, queue.virtualTime());
        Work work = queue.removeFirst();
        waiting--;
        queue.charge((double) work.estimatedTokens() / share);
        virtualTime += (double) work.estimatedTokens() / weight;
        return work;
    }

    void ended(Work work, int actualTokens, int weight, int share) {
        int correction = actualTokens - work.estimatedTokens();
        virtualTime += (double) correction / weight;
        AccountQueue queue = accounts.get(work.account());
        if (queue != null) {
            queue.charge((double) correction / share);
            queue.ended();
            forgetIfIdle(queue);
        }
    }

    // Memory follows the accounts in use. One that is ahead of the others is kept for a while, or
    // it would shed its debt by falling idle for a moment.
    private void forgetIfIdle(AccountQueue queue) {
        if (queue.isIdle() && queue.virtualTime() <= servedUpTo) {
            accounts.remove(queue.account());
        }
    }

    void forgetIdle() {
        accounts.values().removeIf(queue -> queue.isIdle() && queue.virtualTime() <= servedUpTo);
    }
}
