package org.tamaracktrack.core.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tamaracktrack.core.config.Configuration.Accelerator;
import org.tamaracktrack.core.config.Configuration.ClientAccount;
import org.tamaracktrack.core.config.Configuration.Model;
import org.tamaracktrack.core.config.Configuration.Target;
import org.tamaracktrack.core.config.Configuration.TargetKind;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;

/** Finds what a valid configuration cannot keep. */
final class ConfigurationWarnings {
    private final Configuration configuration;
    private final List<Room> rooms;
    private final List<Warning> warnings = new ArrayList<>();

    /** Free memory of one accelerator during a trial placement. */
    private static final class Room {
        private final Target target;
        private long freeMebibytes;

        private Room(Target target, Accelerator accelerator) {
            this.target = target;
            this.freeMebibytes = CrossChecks.usable(accelerator);
        }
    }

    private ConfigurationWarnings(Configuration configuration) {
        this.configuration = configuration;
        this.rooms =
                configuration.targets().values().stream()
                        .sorted(Comparator.comparing(Target::id))
                        .flatMap(
                                target ->
                                        target.accelerators().stream()
                                                .map(accelerator -> new Room(target, accelerator)))
                        .toList();
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

    // Largest first into the first accelerator with room: not always the best packing, so the
    // message says that it is the placement that was tried.
    private void checkResidency() {
        Map<ModelId, TargetId> first = new HashMap<>();
        List<Model> bySize =
                configuration.models().values().stream()
                        .sorted(
                                Comparator.comparingLong(Model::memoryMebibytes)
                                        .reversed()
                                        .thenComparing(Model::id))
                        .toList();
        List<Model> left = bySize.stream().filter(model -> place(model, first).isEmpty()).toList();
        if (!left.isEmpty()) {
            warn(
                    "models",
                    WarningKind.NOT_ALL_RESIDENT,
                    "not all models fit into memory at once; largest first, these are left and"
                            + " reachable by load on demand only: "
                            + names(left));
            return;
        }
        List<Model> single =
                bySize.stream().filter(model -> place(model, first).isEmpty()).toList();
        if (!single.isEmpty()) {
            warn(
                    "models",
                    WarningKind.ONE_COPY_ONLY,
                    "no memory is left for a second copy, on another target, of: " + names(single));
        }
    }

    private Optional<Room> place(Model model, Map<ModelId, TargetId> placed) {
        Optional<Room> room =
                rooms.stream()
                        .filter(free -> free.freeMebibytes >= model.memoryMebibytes())
                        .filter(free -> !free.target.id().equals(placed.get(model.id())))
                        .findFirst();
        room.ifPresent(
                taken -> {
                    taken.freeMebibytes -= model.memoryMebibytes();
                    placed.put(model.id(), taken.target.id());
                });
        return room;
    }

    private void checkDataCentres() {
        List<Model> single =
                configuration.models().values().stream()
                        .filter(model -> dataCentres(model).size() == 1)
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

    private Set<DataCentreId> dataCentres(Model model) {
        return configuration.targets().values().stream()
                .filter(
                        target ->
                                target.accelerators().stream()
                                        .anyMatch(
                                                accelerator ->
                                                        CrossChecks.usable(accelerator)
                                                                >= model.memoryMebibytes()))
                .map(Target::dataCentre)
                .collect(Collectors.toSet());
    }

    private void checkAccount(ClientAccount account) {
        String path = "accounts." + account.id();
        Optional<Target> largest =
                Stream.concat(
                                configuration.targets().values().stream()
                                        .filter(target -> target.kind() == TargetKind.ENGINE),
                                configuration.targets().values().stream()
                                        .filter(
                                                target ->
                                                        target.service()
                                                                .filter(
                                                                        account.services()
                                                                                ::contains)
                                                                .isPresent()))
                        .max(Comparator.comparingInt(Target::concurrency));
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
        long shares =
                configuration.accounts().values().stream().mapToLong(ClientAccount::share).sum();
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
