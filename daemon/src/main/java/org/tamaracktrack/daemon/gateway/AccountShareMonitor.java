package org.tamaracktrack.daemon.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.admission.AccountUsage;
import org.tamaracktrack.core.admission.SharedAccountUsage;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ServiceId;

/**
 * Publishes the usage of client accounts while daemons exchange it, and logs when an account rises
 * above its share or falls below it again. Owned by the traffic thread.
 */
final class AccountShareMonitor {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.accounts");

    /** Interval of the checks; each logs at most one line for an account and service. */
    static final long INTERVAL_MILLIS = 1_000;

    private static final double HUNDREDTHS = 100;

    private final SharedAccountUsage usage;
    private final GatewayMetrics metrics;
    private final BooleanSupplier exchanged;
    private final Set<Subject> above = new HashSet<>();
    private boolean published;

    private record Subject(ServiceId service, ClientAccountId account) {}

    private AccountShareMonitor(
            SharedAccountUsage usage, GatewayMetrics metrics, BooleanSupplier exchanged) {
        this.usage = usage;
        this.metrics = metrics;
        this.exchanged = exchanged;
    }

    /**
     * Creates a monitor.
     *
     * @param usage the usage of client accounts
     * @param metrics publishes it
     * @param exchanged returns whether daemons exchange usage at present
     */
    static AccountShareMonitor of(
            SharedAccountUsage usage, GatewayMetrics metrics, BooleanSupplier exchanged) {
        return new AccountShareMonitor(usage, metrics, exchanged);
    }

    /** Publishes the usage and logs which accounts are newly above or within their share. */
    void check(long nowMillis) {
        Map<ServiceId, Map<ClientAccountId, Double>> excess =
                exchanged.getAsBoolean() ? currentExcess(nowMillis) : Map.of();
        if (published || !excess.isEmpty()) {
            metrics.publishAccountExcess(excess);
            published = !excess.isEmpty();
        }
        logChanges(excess, nowMillis);
    }

    private Map<ServiceId, Map<ClientAccountId, Double>> currentExcess(long nowMillis) {
        Map<ServiceId, Map<ClientAccountId, Double>> excess = new HashMap<>();
        usage.accountsInUse(nowMillis)
                .forEach(
                        (service, accounts) ->
                                accounts.forEach(
                                        account ->
                                                excess.computeIfAbsent(
                                                                service, name -> new HashMap<>())
                                                        .put(
                                                                account,
                                                                usage.excess(
                                                                        service, account,
                                                                        nowMillis))));
        return excess;
    }

    private void logChanges(Map<ServiceId, Map<ClientAccountId, Double>> excess, long nowMillis) {
        Set<Subject> nowAbove = new HashSet<>();
        excess.forEach(
                (service, accounts) ->
                        accounts.forEach(
                                (account, value) -> {
                                    if (value > AccountUsage.MAX_EXCESS) {
                                        nowAbove.add(new Subject(service, account));
                                    }
                                }));
        nowAbove.stream()
                .filter(subject -> !above.contains(subject))
                .forEach(subject -> log("account-over-share", subject, excess, nowMillis));
        above.stream()
                .filter(subject -> !nowAbove.contains(subject))
                .forEach(subject -> log("account-within-share", subject, excess, nowMillis));
        above.clear();
        above.addAll(nowAbove);
    }

    private void log(
            String event,
            Subject subject,
            Map<ServiceId, Map<ClientAccountId, Double>> excess,
            long nowMillis) {
        double value =
                excess.getOrDefault(subject.service(), Map.of())
                        .getOrDefault(subject.account(), 0.0);
        LOG.info(
                "event="
                        + event
                        + " service="
                        + subject.service()
                        + " account="
                        + subject.account()
                        + " excess="
                        + Math.round(value * HUNDREDTHS) / HUNDREDTHS
                        + " own_tokens="
                        + usage.ownTokens(subject.service(), subject.account())
                        + " peer_tokens="
                        + usage.peerTokens(subject.service(), subject.account(), nowMillis));
    }
}
