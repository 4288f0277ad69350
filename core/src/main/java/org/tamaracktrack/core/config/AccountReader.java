package org.tamaracktrack.core.config;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.tamaracktrack.core.config.Configuration.Adapter;
import org.tamaracktrack.core.config.Configuration.ClientAccount;
import org.tamaracktrack.core.config.Configuration.Model;
import org.tamaracktrack.core.config.Configuration.RequestClass;
import org.tamaracktrack.core.config.Configuration.Service;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.RequestClassId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.TemplateId;

/** Reads client accounts from document sections in which the templates have been expanded. */
final class AccountReader {
    static final ModelId PLACEHOLDER_MODEL = ModelId.of("none");

    private static final RequestClassId PLACEHOLDER_CLASS = RequestClassId.of("none");
    private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");
    private static final double MINIMUM_RATE_PER_SECOND = 0.001;

    private final Map<RequestClassId, RequestClass> classes;
    private final Map<ModelId, Model> models;
    private final Map<AdapterId, Adapter> adapters;
    private final Map<ServiceId, Service> services;

    private AccountReader(
            Map<RequestClassId, RequestClass> classes,
            Map<ModelId, Model> models,
            Map<AdapterId, Adapter> adapters,
            Map<ServiceId, Service> services) {
        this.classes = classes;
        this.models = models;
        this.adapters = adapters;
        this.services = services;
    }

    static AccountReader of(
            Map<RequestClassId, RequestClass> classes,
            Map<ModelId, Model> models,
            Map<AdapterId, Adapter> adapters,
            Map<ServiceId, Service> services) {
        return new AccountReader(classes, models, adapters, services);
    }

    ClientAccount read(ClientAccountId id, TemplateId template, Section section) {
        Set<RequestClassId> ownClasses =
                section.references("classes", RequestClassId::of, classes.keySet());
        ClientAccount account =
                new ClientAccount(
                        id,
                        template,
                        keyHashes(section),
                        optionalReferences(section, "models", ModelId::of, models.keySet()),
                        optionalReferences(section, "adapters", AdapterId::of, adapters.keySet()),
                        optionalReferences(section, "services", ServiceId::of, services.keySet()),
                        ownClasses,
                        section.reference("defaultClass", RequestClassId::of, ownClasses)
                                .orElse(PLACEHOLDER_CLASS),
                        section.flag("idempotentByDefault", false),
                        (int) section.integer("share", 1, ConfigurationReader.MAXIMUM_COUNT),
                        (int) section.integer("cap", 1, ConfigurationReader.MAXIMUM_COUNT),
                        section.decimal(
                                "ratePerSecond",
                                MINIMUM_RATE_PER_SECOND,
                                ConfigurationReader.MAXIMUM_COUNT),
                        (int) section.integer("queueLimit", 0, ConfigurationReader.MAXIMUM_COUNT));
        checkAdapterBases(section, account);
        section.reportUnknownKeys();
        return account;
    }

    private static <T> Set<T> optionalReferences(
            Section section, String key, Function<String, T> factory, Set<T> defined) {
        return section.has(key) ? section.references(key, factory, defined) : Set.of();
    }

    private static List<String> keyHashes(Section section) {
        List<String> hashes =
                section.texts(
                        "keyHashes",
                        KEY_HASH,
                        "a SHA-256 hash of a key, 64 characters of 0-9 and a-f");
        Set<String> seen = new HashSet<>();
        hashes.stream()
                .filter(hash -> !seen.add(hash))
                .forEach(
                        hash ->
                                section.addProblem(
                                        ProblemKind.DUPLICATE,
                                        "keyHashes",
                                        hash + ", a second time",
                                        "each hash once"));
        return hashes;
    }

    // A call names both the adapter and its base model, so an account without the base model would
    // have every call to the adapter refused.
    private void checkAdapterBases(Section section, ClientAccount account) {
        account.adapters().stream()
                .filter(id -> !account.models().contains(adapters.get(id).base()))
                .sorted()
                .forEach(
                        id ->
                                section.addProblem(
                                        ProblemKind.UNKNOWN_NAME,
                                        "adapters",
                                        "adapter " + id + " of model " + adapters.get(id).base(),
                                        "adapters of the account's own models"));
    }
}
