package org.tamaracktrack.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.ClientAccountId;

/** The waiting requests of one client account in one class, and its virtual time there. */
final class AccountQueue {
    private final ClientAccountId account;
    private final Map<AttemptId, AdmissionRequest> waiting = new LinkedHashMap<>();
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

    Map<AttemptId, AdmissionRequest> waiting() {
        return waiting;
    }

    double virtualTime() {
        return virtualTime;
    }

    int running() {
        return running;
    }

    // An account that was idle starts with the virtual time of the accounts being served. If idle
    // time were credited, a returning account would keep all others from being served until it had
    // used up its credit.
    void add(AdmissionRequest request, double servedVirtualTime) {
        if (waiting.isEmpty()) {
            virtualTime = Math.max(virtualTime, servedVirtualTime);
        }
        waiting.put(request.attempt(), request);
    }

    AdmissionRequest removeFirst() {
        AdmissionRequest first = waiting.values().iterator().next();
        waiting.remove(first.attempt());
        running++;
        return first;
    }

    void charge(double cost) {
        virtualTime += cost;
    }

    void requestEnded() {
        running--;
    }

    boolean isIdle() {
        return waiting.isEmpty() && running == 0;
    }
}
