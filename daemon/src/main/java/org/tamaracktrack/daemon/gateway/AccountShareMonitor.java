package org.tamaracktrack.daemon.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.admission.SharedAccountUsage;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ServiceId;

/**
 * Publishes the usage of client accounts while daemons exchange it, and logs when an account rises
 * above its share or falls below it again. Owned by the traffic thread.
 */
final class AccountShareMonitor {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.accounts");

    /** Excess above which held requests of an account wait behind those of others. */
    private static final double EXCESS_LIMIT = 2;

    /** Also bounds the log to one line for each account and service in this interval. */
    private static final long INTERVAL_MILLIS = 1_000;

    private static final double HUNDREDTHS = 100;

    private final GatewayContext context;
    private final SharedAccountUsage usage;
    private final Set<Subject> above = new HashSet<>();
    private boolean published;

    private record Subject(ServiceId service, ClientAccountId account) {}

    private AccountShareMonitor(GatewayContext context, SharedAccountUsage usage) {
        this.context = context;
        this.usage = usage;
    }

    /** Starts to check the usage at a fixed interval. */
    static void start(GatewayContext context, SharedAccountUsage usage) {
        context.execute(new AccountShareMonitor(context, usage)::scheduleCheck);
    }

    private void scheduleCheck() {
        context.after(INTERVAL_MILLIS, this::check);
    }

    private void check() {
        scheduleCheck();
        Map<ServiceId, Map<ClientAccountId, Double>> excess =
                context.exchangesUsage() ? currentExcess() : Map.of();
        if (published || !excess.isEmpty()) {
            context.metrics().publishAccountExcess(excess);
            published = !excess.isEmpty();
        }
        logChanges(excess);
    }

    private Map<ServiceId, Map<ClientAccountId, Double>> currentExcess() {
        long nowMillis = context.nowMillis();
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

    private void logChanges(Map<ServiceId, Map<ClientAccountId, Double>> excess) {
        Set<Subject> nowAbove = new HashSet<>();
        excess.forEach(
                (service, accounts) ->
                        accounts.forEach(
                                (account, value) -> {
                                    if (value > EXCESS_LIMIT) {
                                        nowAbove.add(new Subject(service, account));
                                    }
                                }));
        nowAbove.stream()
                .filter(subject -> !above.contains(subject))
                .forEach(subject -> log("account-over-share", subject, excess));
        above.stream()
                .filter(subject -> !nowAbove.contains(subject))
                .forEach(subject -> log("account-within-share", subject, excess));
        above.clear();
        above.addAll(nowAbove);
    }

    private void log(
            String event, Subject subject, Map<ServiceId, Map<ClientAccountId, Double>> excess) {
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
                        + usage.peerTokens(
                                subject.service(), subject.account(), context.nowMillis()));
    }
}
