package org.tamaracktrack.core.config;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.config.Configuration.Accelerator;
import org.tamaracktrack.core.config.Configuration.Adapter;
import org.tamaracktrack.core.config.Configuration.ClientAccount;
import org.tamaracktrack.core.config.Configuration.Model;
import org.tamaracktrack.core.config.Configuration.RequestClass;
import org.tamaracktrack.core.config.Configuration.Target;
import org.tamaracktrack.core.id.ServiceId;

/** Validates conditions that involve several parts of a configuration. */
final class CrossChecks {
    private final ProblemCollector problems;

    private CrossChecks(ProblemCollector problems) {
        this.problems = problems;
    }

    static CrossChecks of(ProblemCollector problems) {
        return new CrossChecks(problems);
    }

    void check(Configuration configuration) {
        if (configuration.classes().isEmpty()) {
            problems.add(ProblemKind.MISSING, "classes", "none", "one request class or more");
        }
        configuration.classes().values().forEach(this::checkObjectives);
        checkEndpoints(configuration);
        checkKeys(configuration);
        checkServices(configuration);
        checkSizes(configuration);
    }

    static long usableMebibytes(Accelerator accelerator) {
        return accelerator.memoryMebibytes() - accelerator.cacheMebibytes();
    }

    private void checkObjectives(RequestClass requestClass) {
        if (requestClass.firstTokenMillis() > requestClass.totalMillis()) {
            problems.add(
                    ProblemKind.OUT_OF_RANGE,
                    "classes." + requestClass.id() + ".firstTokenMillis",
                    Long.toString(requestClass.firstTokenMillis()),
                    "at most totalMillis, " + requestClass.totalMillis());
        }
    }

    // Each of two target daemons that share an engine would count all its memory as its own.
    private void checkEndpoints(Configuration configuration) {
        Map<String, Target> targetsByEndpoint = new HashMap<>();
        configuration.targets().values().stream()
                .filter(target -> !target.endpoint().isEmpty())
                .sorted((left, right) -> left.id().compareTo(right.id()))
                .forEach(
                        target -> {
                            Target first = targetsByEndpoint.putIfAbsent(target.endpoint(), target);
                            if (first != null) {
                                problems.add(
                                        ProblemKind.DUPLICATE,
                                        "targets." + target.id() + ".endpoint",
                                        target.endpoint()
                                                + ", which is also the endpoint of "
                                                + first.id(),
                                        "an endpoint of its own");
                            }
                        });
    }

    // A key that authenticates two accounts would let the callers of one act as the other.
    private void checkKeys(Configuration configuration) {
        Map<String, ClientAccount> accountsByKeyHash = new HashMap<>();
        configuration.accounts().values().stream()
                .sorted((left, right) -> left.id().compareTo(right.id()))
                .forEach(
                        account ->
                                account.keyHashes().stream()
                                        .distinct()
                                        .forEach(
                                                hash ->
                                                        checkKey(
                                                                accountsByKeyHash, account, hash)));
    }

    private void checkKey(
            Map<String, ClientAccount> accountsByKeyHash, ClientAccount account, String hash) {
        ClientAccount first = accountsByKeyHash.putIfAbsent(hash, account);
        if (first != null) {
            problems.add(
                    ProblemKind.DUPLICATE,
                    "accounts." + account.id() + ".keyHashes",
                    hash + ", which also authenticates " + first.id(),
                    "keys that authenticate one account only");
        }
    }

    private void checkServices(Configuration configuration) {
        Set<ServiceId> withTarget =
                configuration.targets().values().stream()
                        .flatMap(target -> target.service().stream())
                        .collect(Collectors.toSet());
        configuration.accounts().values().stream()
                .flatMap(account -> account.services().stream())
                .distinct()
                .filter(service -> !withTarget.contains(service))
                .forEach(
                        service ->
                                problems.add(
                                        ProblemKind.MISSING,
                                        "services." + service,
                                        "no target, although accounts use this service",
                                        "one target or more of kind service"));
    }

    private void checkSizes(Configuration configuration) {
        long largestMebibytes =
                configuration.targets().values().stream()
                        .flatMap(target -> target.accelerators().stream())
                        .mapToLong(CrossChecks::usableMebibytes)
                        .max()
                        .orElse(0);
        configuration.models().values().stream()
                .filter(model -> model.memoryMebibytes() > largestMebibytes)
                .forEach(
                        model ->
                                reportDoesNotFit(
                                        "models." + model.id(),
                                        model.memoryMebibytes(),
                                        largestMebibytes));
        configuration.adapters().values().stream()
                .flatMap(
                        adapter ->
                                adapterIfTooLargeWithBase(configuration, adapter, largestMebibytes))
                .forEach(
                        adapter ->
                                reportDoesNotFit(
                                        "adapters." + adapter.id(),
                                        adapter.memoryMebibytes(),
                                        largestMebibytes
                                                - configuration
                                                        .models()
                                                        .get(adapter.base())
                                                        .memoryMebibytes()));
    }

    private static Stream<Adapter> adapterIfTooLargeWithBase(
            Configuration configuration, Adapter adapter, long largestMebibytes) {
        Model base = configuration.models().get(adapter.base());
        return base != null
                        && base.memoryMebibytes() <= largestMebibytes
                        && base.memoryMebibytes() + adapter.memoryMebibytes() > largestMebibytes
                ? Stream.of(adapter)
                : Stream.empty();
    }

    private void reportDoesNotFit(String path, long neededMebibytes, long allowedMebibytes) {
        problems.add(
                ProblemKind.DOES_NOT_FIT,
                path + ".memoryMebibytes",
                Long.toString(neededMebibytes),
                "at most "
                        + allowedMebibytes
                        + ", the memory of the largest accelerator without its cache");
    }
}
