package org.tamaracktrack.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.ClientAccountId;

/** The waiting requests of one client account in one class, and its virtual time there. */
final class AccountQueue {
    private final ClientAccountId account;
    private final Map<AttemptId, Work> waiting = new LinkedHashMap<>();
    private double virtualTime;
    private int running;

    private AccountQueue(ClientAccountId account, double virtualTime) {
        this.account = account;
        this.virtualTime = virtualTime;
    }

    static AccountQueue of(ClientAccountId account, double virtualTime) {
        return new AccountQueue(account, virtualTime);
    }

    ClientAccountId account() {
        return account;
    }

    Map<AttemptId, Work> waiting() {
        return waiting;
    }

    double virtualTime() {
        return virtualTime;
    }

    int running() {
        return running;
    }

    // An account that was idle starts level with those being served: time spent idle earns nothing,
    // or its saved-up share would shut the others out when it returns.
    void add(Work work, double servedUpTo) {
        if (waiting.isEmpty()) {
            virtualTime = Math.max(virtualTime, servedUpTo);
        }
        waiting.put(work.attempt(), work);
    }

    Work removeFirst() {
        Work first = waiting.values().iterator().next();
        waiting.remove(first.attempt());
        running++;
        return first;
    }

    void charge(double cost) {
        virtualTime += cost;
    }

    void ended() {
        running--;
    }

    boolean isIdle() {
        return waiting.isEmpty() && running == 0;
    }
}
