package org.tamaracktrack.daemon.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.rate.RequestRateLimiter;
import org.tamaracktrack.core.report.RequestOutcome;
import org.tamaracktrack.daemon.runtime.ControlThread;

/** Limits the request rate of each client account at this daemon. Thread-safe. */
final class AccountRates {
    private final Map<ClientAccountId, RequestRateLimiter> limiters = new ConcurrentHashMap<>();

    private AccountRates() {}

    static AccountRates empty() {
        return new AccountRates();
    }

    /**
     * Admits a request that is within the rate of its account. Otherwise counts the request as
     * refused and throws an exception with the code {@link ErrorCode#ACCOUNT_LIMIT}.
     */
    void admit(CallerRequest request, EntryMetrics metrics) {
        long now = ControlThread.nowMillis();
        RequestRateLimiter limiter =
                limiters.computeIfAbsent(
                        request.account().id(), key -> RequestRateLimiter.full(now));
        if (!limiter.tryAcquire(request.account().ratePerSecond(), now)) {
            metrics.count(request, RequestOutcome.OFFERED);
            metrics.count(request, RequestOutcome.refused(ErrorCode.ACCOUNT_LIMIT));
            throw TamaracktrackException.of(
                    ErrorCode.ACCOUNT_LIMIT, "this account is over its requests a second");
        }
    }
}
