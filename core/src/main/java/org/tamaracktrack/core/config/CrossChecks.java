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

/** Checks that concern several parts of a configuration together. */
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

    static long usable(Accelerator accelerator) {
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

    // Two processes that drive one engine would each believe its memory to be theirs alone.
    private void checkEndpoints(Configuration configuration) {
        Map<String, Target> seen = new HashMap<>();
        configuration.targets().values().stream()
                .filter(target -> !target.endpoint().isEmpty())
                .sorted((one, other) -> one.id().compareTo(other.id()))
                .forEach(
                        target -> {
                            Target first = seen.putIfAbsent(target.endpoint(), target);
                            if (first != null) {
                                problems.add(
                                        ProblemKind.DUPLICATE,
                                        "targets." + target.id() + ".endpoint",
                                        target.endpoint() + ", which is also " + first.id(),
                                        "an endpoint of its own");
                            }
                        });
    }

    // A key that proves two accounts would let one caller read and spend as the other.
    private void checkKeys(Configuration configuration) {
        Map<String, ClientAccount> seen = new HashMap<>();
        configuration.accounts().values().stream()
                .sorted((one, other) -> one.id().compareTo(other.id()))
                .forEach(
                        account ->
                                account.keyHashes().stream()
                                        .distinct()
                                        .forEach(hash -> checkKey(seen, account, hash)));
    }

    private void checkKey(Map<String, ClientAccount> seen, ClientAccount account, String hash) {
        ClientAccount first = seen.putIfAbsent(hash, account);
        if (first != null) {
            problems.add(
                    ProblemKind.DUPLICATE,
                    "accounts." + account.id() + ".keyHashes",
                    hash + ", which also proves " + first.id(),
                    "keys that prove one account only");
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
                                        "no target of this service, and accounts that use it",
                                        "one target or more of kind service"));
    }

    private void checkSizes(Configuration configuration) {
        long largest =
                configuration.targets().values().stream()
                        .flatMap(target -> target.accelerators().stream())
                        .mapToLong(CrossChecks::usable)
                        .max()
                        .orElse(0);
        configuration.models().values().stream()
                .filter(model -> model.memoryMebibytes() > largest)
                .forEach(
                        model ->
                                doesNotFit(
                                        "models." + model.id(), model.memoryMebibytes(), largest));
        configuration.adapters().values().stream()
                .flatMap(adapter -> withBase(configuration, adapter, largest))
                .forEach(
                        adapter ->
                                doesNotFit(
                                        "adapters." + adapter.id(),
                                        adapter.memoryMebibytes(),
                                        largest
                                                - configuration
                                                        .models()
                                                        .get(adapter.base())
                                                        .memoryMebibytes()));
    }

    private static Stream<Adapter> withBase(
            Configuration configuration, Adapter adapter, long largest) {
        Model base = configuration.models().get(adapter.base());
        return base != null
                        && base.memoryMebibytes() <= largest
                        && base.memoryMebibytes() + adapter.memoryMebibytes() > largest
                ? Stream.of(adapter)
                : Stream.empty();
    }

    private void doesNotFit(String path, long found, long largest) {
        problems.add(
                ProblemKind.DOES_NOT_FIT,
                path + ".memoryMebibytes",
                Long.toString(found),
                "at most " + largest + ", what the largest accelerator has besides its cache");
    }
}
