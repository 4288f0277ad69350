package org.tamaracktrack.daemon.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.rate.RequestRateLimiter;
import org.tamaracktrack.core.report.RequestOutcome;
import org.tamaracktrack.daemon.runtime.ControlThread;

/** Holds each client account to its requests a second at this daemon. For any thread. */
final class AccountRates {
    private final Map<ClientAccountId, RequestRateLimiter> buckets = new ConcurrentHashMap<>();

    private AccountRates() {}

    static AccountRates empty() {
        return new AccountRates();
    }

    void admit(CallerRequest request, EntryMetrics metrics) {
        long now = ControlThread.nowMillis();
        RequestRateLimiter bucket =
                buckets.computeIfAbsent(
                        request.account().id(), key -> RequestRateLimiter.full(now));
        if (!bucket.tryAcquire(request.account().ratePerSecond(), now)) {
            metrics.count(request, RequestOutcome.OFFERED);
            metrics.count(request, RequestOutcome.refused(ErrorCode.ACCOUNT_LIMIT));
            throw TamaracktrackException.of(
                    ErrorCode.ACCOUNT_LIMIT, "this account is over its requests a second");
        }
    }
}
