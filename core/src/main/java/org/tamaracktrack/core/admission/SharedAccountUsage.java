package org.tamaracktrack.core.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ServiceId;

/**
 * The outstanding tokens of client accounts at this daemon, and at its peers as each last reported
 * them. Confined to the traffic thread.
 */
public final class SharedAccountUsage implements AccountUsage {
    /** A peer that sent no report for this long is considered gone, together with its requests. */
    private static final long EXPIRY_MILLIS = 1_000;

    private final Map<ServiceId, Map<ClientAccountId, Long>> ownTokens = new HashMap<>();
    private final Map<String, Received> reports = new HashMap<>();
    private final Map<ServiceId, PeerTokens> peerTokens = new HashMap<>();

    /** The last report of a peer, and the process run that it replaced at the same address. */
    private record Received(UsageReport report, Optional<String> replacedProcess, long atMillis) {
        boolean isExpired(long nowMillis) {
            return nowMillis - atMillis > EXPIRY_MILLIS;
        }

        boolean isOlderThan(UsageReport other) {
            return report.process().equals(other.process())
                    ? report.sequence() < other.sequence()
                    : replacedProcess.filter(other.process()::equals).isEmpty();
        }
    }

    /**
     * The tokens of all peers at a service.
     *
     * @param minimumAccounts the largest number of accounts at one peer; some of them have no name
     */
    private record PeerTokens(
            Map<ClientAccountId, Long> byAccount, long totalTokens, int minimumAccounts) {}

    private SharedAccountUsage() {}

    /**
     * Returns a usage without any tokens.
     *
     * @return the empty usage
     */
    public static SharedAccountUsage empty() {
        return new SharedAccountUsage();
    }

    /**
     * Records that this daemon has sent a request to a target.
     *
     * @param service the service of the request
     * @param account its client account
     * @param tokens its tokens, at least 1
     */
    public void recordSent(ServiceId service, ClientAccountId account, long tokens) {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(account, "account is null");
        checkTokens(tokens);
        ownTokens
                .computeIfAbsent(service, name -> new HashMap<>())
                .merge(account, tokens, Long::sum);
    }

    /**
     * Records the end of a request that this daemon has sent to a target.
     *
     * @param service the service of the request
     * @param account its client account
     * @param tokens the tokens that were recorded when it was sent
     */
    public void recordEnd(ServiceId service, ClientAccountId account, long tokens) {
        checkTokens(tokens);
        ownTokens.computeIfPresent(
                service,
                (name, accounts) -> {
                    accounts.computeIfPresent(
                            account,
                            (id, before) -> before > tokens ? Long.valueOf(before - tokens) : null);
                    return accounts.isEmpty() ? null : accounts;
                });
    }

    private static void checkTokens(long tokens) {
        if (tokens < 1) {
            throw new IllegalArgumentException("tokens is less than 1: " + tokens);
        }
    }

    /**
     * Returns what this daemon reports to its peers. Accounts with less than a fiftieth of its
     * tokens at a service are summed.
     *
     * @return the usage by service, with at most {@link UsageReport#MAX_ACCOUNTS} accounts
     */
    public Map<ServiceId, ServiceUsage> ownUsage() {
        return UsageSummary.of(ownTokens);
    }

    /**
     * Replaces the report of a peer, unless it has already sent a newer one. A report of another
     * process run at the same address replaces that of the earlier run.
     *
     * @param peer the address of the peer
     * @param report the usage that it reports
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordReport(String peer, UsageReport report, long nowMillis) {
        Objects.requireNonNull(peer, "peer is null");
        Objects.requireNonNull(report, "report is null");
        removeExpired(nowMillis);
        Received previous = reports.get(peer);
        if (previous == null || previous.isOlderThan(report)) {
            reports.put(peer, new Received(report, replacedProcess(previous, report), nowMillis));
            peerTokens.clear();
        }
    }

    private static Optional<String> replacedProcess(Received previous, UsageReport report) {
        if (previous == null) {
            return Optional.empty();
        }
        return previous.report().process().equals(report.process())
                ? previous.replacedProcess()
                : Optional.of(previous.report().process());
    }

    /**
     * Removes the reports of daemons that are no longer peers.
     *
     * @param peers the addresses of the peers
     */
    public void retainPeers(Set<String> peers) {
        reports.keySet().retainAll(peers);
        peerTokens.clear();
    }

    @Override
    public double excess(ServiceId service, ClientAccountId account, long nowMillis) {
        Map<ClientAccountId, Long> own = ownTokens.getOrDefault(service, Map.of());
        PeerTokens peers = peerTokens(service, nowMillis);
        long tokens = own.getOrDefault(account, 0L) + peers.byAccount().getOrDefault(account, 0L);
        if (tokens == 0) {
            return 0;
        }
        long totalTokens =
                own.values().stream().mapToLong(Long::longValue).sum() + peers.totalTokens();
        long ownAccountsOnly =
                own.keySet().stream().filter(id -> !peers.byAccount().containsKey(id)).count();
        long accounts =
                Math.max(peers.byAccount().size() + ownAccountsOnly, peers.minimumAccounts());
        return (double) tokens * accounts / totalTokens;
    }

    /**
     * Returns the outstanding tokens of a client account at this daemon.
     *
     * @param service the service
     * @param account the client account
     * @return the tokens
     */
    public long ownTokens(ServiceId service, ClientAccountId account) {
        return ownTokens.getOrDefault(service, Map.of()).getOrDefault(account, 0L);
    }

    /**
     * Returns the outstanding tokens of a client account at the peers of this daemon.
     *
     * @param service the service
     * @param account the client account
     * @param nowMillis the monotonic time in milliseconds
     * @return the tokens that peers reported recently
     */
    public long peerTokens(ServiceId service, ClientAccountId account, long nowMillis) {
        return peerTokens(service, nowMillis).byAccount().getOrDefault(account, 0L);
    }

    /**
     * Returns the client accounts that have outstanding tokens, as far as their names are known.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the client accounts by service
     */
    public Map<ServiceId, Set<ClientAccountId>> accountsInUse(long nowMillis) {
        removeExpired(nowMillis);
        Set<ServiceId> services = new HashSet<>(ownTokens.keySet());
        reports.values()
                .forEach(received -> services.addAll(received.report().services().keySet()));
        return services.stream()
                .collect(
                        Collectors.toMap(
                                service -> service, service -> accounts(service, nowMillis)));
    }

    private Set<ClientAccountId> accounts(ServiceId service, long nowMillis) {
        Set<ClientAccountId> accounts =
                new HashSet<>(peerTokens(service, nowMillis).byAccount().keySet());
        accounts.addAll(ownTokens.getOrDefault(service, Map.of()).keySet());
        return accounts;
    }

    private void removeExpired(long nowMillis) {
        if (reports.values().removeIf(received -> received.isExpired(nowMillis))) {
            peerTokens.clear();
        }
    }

    private PeerTokens peerTokens(ServiceId service, long nowMillis) {
        removeExpired(nowMillis);
        PeerTokens known = peerTokens.get(service);
        if (known == null) {
            known = sumReports(service);
            // Services without reports are not kept, so that memory is bounded by the reports.
            if (known.totalTokens() > 0) {
                peerTokens.put(service, known);
            }
        }
        return known;
    }

    private PeerTokens sumReports(ServiceId service) {
        Map<ClientAccountId, Long> byAccount = new HashMap<>();
        long totalTokens = 0;
        int minimumAccounts = 0;
        for (Received received : reports.values()) {
            ServiceUsage usage = received.report().services().get(service);
            if (usage != null) {
                usage.tokens().forEach((id, tokens) -> byAccount.merge(id, tokens, Long::sum));
                totalTokens += usage.totalTokens();
                minimumAccounts = Math.max(minimumAccounts, usage.accounts());
            }
        }
        return new PeerTokens(byAccount, totalTokens, minimumAccounts);
    }
}
