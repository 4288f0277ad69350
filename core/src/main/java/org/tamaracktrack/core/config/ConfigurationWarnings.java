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

/** Finds the requirements that a valid configuration states but cannot satisfy. */
final class ConfigurationWarnings {
    private static final Comparator<Target> BY_CONCURRENCY =
            Comparator.comparingInt(Target::concurrency).thenComparing(Target::id);

    private final Configuration configuration;
    private final long totalShares;
    private final Optional<Target> largestEngine;
    private final Map<ServiceId, Target> largestOfService = new HashMap<>();
    private final List<Warning> warnings = new ArrayList<>();

    private ConfigurationWarnings(Configuration configuration) {
        this.configuration = configuration;
        this.totalShares =
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
        ConfigurationWarnings checks = new ConfigurationWarnings(configuration);
        checks.checkResidency();
        checks.checkDataCentres();
        configuration.accounts().values().stream()
                .sorted(Comparator.comparing(ClientAccount::id))
                .forEach(checks::checkAccount);
        return List.copyOf(checks.warnings);
    }

    private void checkResidency() {
        GreedyPlacement placement = GreedyPlacement.of(configuration);
        List<Model> models = List.copyOf(configuration.models().values());
        List<Model> unplaced = placement.placeOneCopyOfEach(models);
        if (!unplaced.isEmpty()) {
            addWarning(
                    "models",
                    WarningKind.NOT_ALL_RESIDENT,
                    "not all models fit into memory at once; placed largest first, these do not"
                            + " fit and are reachable by load on demand only: "
                            + names(unplaced));
            return;
        }
        List<Model> withoutSecondCopy = placement.placeOneCopyOfEach(models);
        if (!withoutSecondCopy.isEmpty()) {
            addWarning(
                    "models",
                    WarningKind.ONE_COPY_ONLY,
                    "no memory is left for a second copy, on another target, of: "
                            + names(withoutSecondCopy));
        }
    }

    private void checkDataCentres() {
        Map<DataCentreId, Long> largestByDataCentre = new HashMap<>();
        configuration
                .targets()
                .values()
                .forEach(
                        target ->
                                target.accelerators()
                                        .forEach(
                                                accelerator ->
                                                        largestByDataCentre.merge(
                                                                target.dataCentre(),
                                                                CrossChecks.usableMebibytes(
                                                                        accelerator),
                                                                Math::max)));
        List<Model> inOneDataCentre =
                configuration.models().values().stream()
                        .filter(model -> countFittingDataCentres(largestByDataCentre, model) == 1)
                        .sorted(Comparator.comparing(Model::id))
                        .toList();
        if (!inOneDataCentre.isEmpty()) {
            addWarning(
                    "models",
                    WarningKind.ONE_DATA_CENTRE,
                    "these fit accelerators of one data centre only and are unavailable when it"
                            + " is lost: "
                            + names(inOneDataCentre));
        }
    }

    private static long countFittingDataCentres(
            Map<DataCentreId, Long> largestByDataCentre, Model model) {
        return largestByDataCentre.values().stream()
                .filter(usableMebibytes -> usableMebibytes >= model.memoryMebibytes())
                .count();
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
            addWarning(
                    path + ".queueLimit",
                    WarningKind.QUEUE_ABOVE_CLASSES,
                    account.queueLimit()
                            + " is never reached: the queues of its classes take "
                            + classQueues);
        }
    }

    private void checkCap(String path, ClientAccount account, Target target) {
        long requestsOfShare = target.concurrency() * (long) account.share() / totalShares;
        if (account.cap() < requestsOfShare) {
            addWarning(
                    path + ".cap",
                    WarningKind.CAP_BELOW_SHARE,
                    account.cap()
                            + " is below the "
                            + requestsOfShare
                            + " requests that its share of "
                            + target.id()
                            + " comes to, so the share can't be met");
        }
        if (account.cap() > target.concurrency()) {
            addWarning(
                    path + ".cap",
                    WarningKind.CAP_ABOVE_CONCURRENCY,
                    account.cap()
                            + " is never reached: no target runs more than "
                            + target.concurrency()
                            + " at once");
        }
    }

    private void addWarning(String path, WarningKind kind, String message) {
        warnings.add(new Warning(path, kind, message));
    }

    private static String names(List<Model> models) {
        return models.stream()
                .map(model -> model.id().toString())
                .collect(Collectors.joining(", "));
    }
}
