package org.tamaracktrack.core.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ServiceId;

/** Selects what a daemon reports of its usage, so that a report stays below four kilobytes. */
final class UsageSummary {
    /** Accounts with a smaller part of the daemon's tokens at a service are reported together. */
    private static final int SMALLEST_NAMED_PART = 50;

    /** Limit of characters for services; the smallest services beyond it are not reported. */
    private static final int MAX_SERVICE_CHARACTERS = 1_600;

    private static final int MAX_CHARACTERS = 3_800;

    /** Bytes for the figures and headers of an entry beside its name. */
    private static final int ENTRY_BYTES = 16;

    private UsageSummary() {}

    private record Row(ServiceId service, ClientAccountId account, long tokens) {
        int characters() {
            return account.value().length() + ENTRY_BYTES;
        }
    }

    static Map<ServiceId, ServiceUsage> of(Map<ServiceId, Map<ClientAccountId, Long>> tokens) {
        Map<ServiceId, Long> totals =
                tokens.entrySet().stream()
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey, entry -> total(entry.getValue())));
        Set<ServiceId> services = reportedServices(totals);
        Map<ServiceId, Map<ClientAccountId, Long>> named = namedAccounts(tokens, totals, services);
        return services.stream()
                .collect(
                        Collectors.toMap(
                                service -> service,
                                service ->
                                        usage(
                                                named.getOrDefault(service, Map.of()),
                                                tokens.get(service).size(),
                                                totals.get(service))));
    }

    private static ServiceUsage usage(
            Map<ClientAccountId, Long> named, int accounts, long totalTokens) {
        return new ServiceUsage(
                named,
                Math.min(ServiceUsage.MAX_OTHER_ACCOUNTS, accounts - named.size()),
                Math.min(ServiceUsage.MAX_TOKENS, totalTokens - total(named)));
    }

    private static Set<ServiceId> reportedServices(Map<ServiceId, Long> totals) {
        List<ServiceId> byTokens =
                totals.entrySet().stream()
                        .sorted(
                                Comparator.comparingLong(
                                                (Map.Entry<ServiceId, Long> entry) ->
                                                        -entry.getValue())
                                        .thenComparing(entry -> entry.getKey().value()))
                        .map(Map.Entry::getKey)
                        .collect(Collectors.toList());
        Set<ServiceId> reported = new LinkedHashSet<>();
        int characters = 0;
        for (ServiceId service : byTokens) {
            characters += service.value().length() + ENTRY_BYTES;
            if (characters > MAX_SERVICE_CHARACTERS) {
                break;
            }
            reported.add(service);
        }
        return reported;
    }

    private static Map<ServiceId, Map<ClientAccountId, Long>> namedAccounts(
            Map<ServiceId, Map<ClientAccountId, Long>> tokens,
            Map<ServiceId, Long> totals,
            Set<ServiceId> services) {
        List<Row> largestFirst =
                services.stream()
                        .flatMap(
                                service ->
                                        tokens.get(service).entrySet().stream()
                                                .map(
                                                        entry ->
                                                                new Row(
                                                                        service,
                                                                        entry.getKey(),
                                                                        entry.getValue())))
                        .filter(
                                row ->
                                        row.tokens() * SMALLEST_NAMED_PART
                                                >= totals.get(row.service()))
                        .sorted(
                                Comparator.comparingLong((Row row) -> -row.tokens())
                                        .thenComparing(Row::account)
                                        .thenComparing(row -> row.service().value()))
                        .limit(UsageReport.MAX_ACCOUNTS)
                        .collect(Collectors.toList());
        Map<ServiceId, Map<ClientAccountId, Long>> named = new HashMap<>();
        int characters =
                services.stream().mapToInt(service -> service.value().length() + ENTRY_BYTES).sum();
        for (Row row : largestFirst) {
            characters += row.characters();
            if (characters > MAX_CHARACTERS) {
                break;
            }
            named.computeIfAbsent(row.service(), service -> new HashMap<>())
                    .put(row.account(), Math.min(ServiceUsage.MAX_TOKENS, row.tokens()));
        }
        return named;
    }

    private static long total(Map<ClientAccountId, Long> tokens) {
        return tokens.values().stream().mapToLong(Long::longValue).sum();
    }
}
