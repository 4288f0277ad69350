package org.tamaracktrack.core.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BinaryOperator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.config.Configuration.ClientAccount;
import org.tamaracktrack.core.config.Configuration.Model;
import org.tamaracktrack.core.config.Configuration.Target;
import org.tamaracktrack.core.config.Configuration.TargetKind;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.ServiceId;

/** Finds what a valid configuration cannot keep. */
final class ConfigurationWarnings {
    private static final Comparator<Target> BY_CONCURRENCY =
            Comparator.comparingInt(Target::concurrency).thenComparing(Target::id);

    private final Configuration configuration;
    private final long shares;
    private final Optional<Target> largestEngine;
    private final Map<ServiceId, Target> largestOfService = new HashMap<>();
    private final List<Warning> warnings = new ArrayList<>();

    private ConfigurationWarnings(Configuration configuration) {
        this.configuration = configuration;
        this.shares =
                configuration.accounts().values().stream().mapToLong(ClientAccount::share).sum();
        this.largestEngine =
                configuration.targets().values().stream()
                        .filter(target -> target.kind() == TargetKind.ENGINE)
                        .max(BY_CONCURRENCY);
        configuration
                .targets()
                .values()
                .forEach(
                        target ->
                                target.service()
                                        .ifPresent(
                                                service ->
                                                        largestOfService.merge(
                                                                service,
                                                                target,
                                                                BinaryOperator.maxBy(
                                                                        BY_CONCURRENCY))));
    }

    static List<Warning> of(Configuration configuration) {
        ConfigurationWarnings found = new ConfigurationWarnings(configuration);
        found.checkResidency();
        found.checkDataCentres();
        configuration.accounts().values().stream()
                .sorted(Comparator.comparing(ClientAccount::id))
                .forEach(found::checkAccount);
        return List.copyOf(found.warnings);
    }

    private void checkResidency() {
        TrialPlacement placement = TrialPlacement.of(configuration);
        List<Model> models = List.copyOf(configuration.models().values());
        List<Model> left = placement.leftOver(models);
        if (!left.isEmpty()) {
            warn(
                    "models",
                    WarningKind.NOT_ALL_RESIDENT,
                    "not all models fit into memory at once; largest first, these are left and"
                            + " reachable by load on demand only: "
                            + names(left));
            return;
        }
        List<Model> single = placement.leftOver(models);
        if (!single.isEmpty()) {
            warn(
                    "models",
                    WarningKind.ONE_COPY_ONLY,
                    "no memory is left for a second copy, on another target, of: " + names(single));
        }
    }

    private void checkDataCentres() {
        Map<DataCentreId, Long> largest = new HashMap<>();
        configuration
                .targets()
                .values()
                .forEach(
                        target ->
                                target.accelerators()
                                        .forEach(
                                                accelerator ->
                                                        largest.merge(
                                                                target.dataCentre(),
                                                                CrossChecks.usable(accelerator),
                                                                Math::max)));
        List<Model> single =
                configuration.models().values().stream()
                        .filter(model -> fitting(largest, model) == 1)
                        .sorted(Comparator.comparing(Model::id))
                        .toList();
        if (!single.isEmpty()) {
            warn(
                    "models",
                    WarningKind.ONE_DATA_CENTRE,
                    "these fit accelerators of one data centre only, and are out of reach when it"
                            + " is lost: "
                            + names(single));
        }
    }

    private static long fitting(Map<DataCentreId, Long> largest, Model model) {
        return largest.values().stream().filter(size -> size >= model.memoryMebibytes()).count();
    }

    private void checkAccount(ClientAccount account) {
        String path = "accounts." + account.id();
        Optional<Target> largest =
                Stream.concat(
                                largestEngine.stream(),
                                account.services().stream()
                                        .flatMap(
                                                service ->
                                                        Optional.ofNullable(
                                                                largestOfService.get(service))
                                                                .stream()))
                        .max(BY_CONCURRENCY);
        largest.ifPresent(target -> checkCap(path, account, target));
        long classQueues =
                account.classes().stream()
                        .mapToLong(id -> configuration.classes().get(id).queueLimit())
                        .sum();
        if (account.queueLimit() > classQueues) {
            warn(
                    path + ".queueLimit",
                    WarningKind.QUEUE_ABOVE_CLASSES,
                    account.queueLimit()
                            + " is never reached: the queues of its classes take "
                            + classQueues);
        }
    }

    private void checkCap(String path, ClientAccount account, Target target) {
        long part = target.concurrency() * (long) account.share() / shares;
        if (account.cap() < part) {
            warn(
                    path + ".cap",
                    WarningKind.CAP_BELOW_SHARE,
                    account.cap()
                            + " is below the "
                            + part
                            + " requests that its share of "
                            + target.id()
                            + " comes to, so the share can't be met");
        }
        if (account.cap() > target.concurrency()) {
            warn(
                    path + ".cap",
                    WarningKind.CAP_ABOVE_CONCURRENCY,
                    account.cap()
                            + " is never reached: no target runs more than "
                            + target.concurrency()
                            + " at once");
        }
    }

    private void warn(String path, WarningKind kind, String message) {
        warnings.add(new Warning(path, kind, message));
    }

    private static String names(List<Model> models) {
        return models.stream()
                .map(model -> model.id().toString())
                .collect(Collectors.joining(", "));
    }
}
