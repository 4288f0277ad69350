package org.tamaracktrack.core.config;

import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.regex.Pattern;
import org.tamaracktrack.core.config.Configuration.Adapter;
import org.tamaracktrack.core.config.Configuration.ClientAccount;
import org.tamaracktrack.core.config.Configuration.Model;
import org.tamaracktrack.core.config.Configuration.RequestClass;
import org.tamaracktrack.core.config.Configuration.Service;
import org.tamaracktrack.core.config.Configuration.Target;
import org.tamaracktrack.core.config.Configuration.WeightStoreLimits;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.RequestClassId;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.TargetId;

/**
 * Reads and validates a configuration document, given as a tree of maps, lists, strings, numbers
 * and booleans, independent of its textual format. Reading is a pure function of the tree, so that
 * every process that reads the same document gets the same result.
 */
public final class ConfigurationReader {
    /** The newest document format that this release reads. */
    public static final int FORMAT = 1;

    static final long MAXIMUM_MEBIBYTES = 1L << 30;
    static final long MAXIMUM_MILLIS = 7L * 24 * 60 * 60 * 1000;
    static final int MAXIMUM_COUNT = 1_000_000;
    static final Pattern VERSION = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    static final String VERSION_FORM = "1 to 64 characters of letters, digits and . _ -";

    private static final double MAXIMUM_MOVE_COST = 1_000_000;
    private static final double MINIMUM_LOADS_PER_SECOND = 0.001;
    private static final long MINIMUM_IDEMPOTENCY_WINDOW_MILLIS = 1_000;
    private static final int MAXIMUM_CLASS_WEIGHT = 1_000;
    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}");

    private final ProblemCollector problems = new ProblemCollector();

    private ConfigurationReader() {}

    /**
     * Reads a document.
     *
     * @param tree the document
     * @return the configuration with its warnings, or every problem found
     */
    public static ConfigurationReading read(Map<String, Object> tree) {
        Objects.requireNonNull(tree, "tree is null");
        return new ConfigurationReader().readDocument(tree);
    }

    /**
     * Returns whether a document has a format that only a later release can read.
     *
     * @param tree the document
     * @return true when the format is newer than {@link #FORMAT}
     */
    public static boolean isOfLaterFormat(Map<String, Object> tree) {
        return tree.get("format") instanceof Integer format && format > FORMAT;
    }

    private ConfigurationReading readDocument(Map<String, Object> tree) {
        if (!DocumentLimits.check(tree, problems)) {
            return rejected();
        }
        if (isOfLaterFormat(tree)) {
            problems.add(
                    ProblemKind.UNSUPPORTED_FORMAT,
                    "format",
                    DocumentValues.describe(tree.get("format")),
                    "at most " + FORMAT + "; upgrade the programs first");
            return rejected();
        }
        TemplateExpansion expansion = TemplateExpansion.of(tree, problems);
        Section document = Section.of("", expansion.document(), problems);
        if (expansion.isTooLarge()) {
            return rejected();
        }
        Configuration configuration = configuration(document, expansion);
        document.reportUnknownKeys();
        return problems.isEmpty()
                ? new ConfigurationReading.Accepted(
                        configuration, ConfigurationWarnings.of(configuration))
                : rejected();
    }

    private ConfigurationReading rejected() {
        return new ConfigurationReading.Rejected(problems.sorted());
    }

    private Configuration configuration(Section document, TemplateExpansion expansion) {
        document.integer("format", 1, FORMAT, FORMAT);
        expansion.markKeysKnown(document);
        Map<RequestClassId, RequestClass> classes =
                document.entries("classes", RequestClassId::of, ConfigurationReader::requestClass);
        Map<ModelId, Model> models =
                document.entries("models", ModelId::of, ConfigurationReader::model);
        Map<AdapterId, Adapter> adapters =
                document.entries(
                        "adapters", AdapterId::of, (id, section) -> adapter(id, section, models));
        Map<ServiceId, Service> services =
                document.entries("services", ServiceId::of, ConfigurationReader::service);
        TargetReader targetReader = TargetReader.of(services);
        Map<TargetId, Target> targets =
                document.entries("targets", TargetId::of, targetReader::read);
        AccountReader accountReader = AccountReader.of(classes, models, adapters, services);
        Map<ClientAccountId, ClientAccount> accounts =
                expansion.accounts(accountReader::read, ClientAccountId::of);
        Configuration configuration =
                new Configuration(
                        document.decimal("moveCost", 0, MAXIMUM_MOVE_COST),
                        weightStore(document.child("weightStore")),
                        document.integer(
                                "idempotencyWindowMillis",
                                MINIMUM_IDEMPOTENCY_WINDOW_MILLIS,
                                MAXIMUM_MILLIS),
                        classes,
                        models,
                        adapters,
                        services,
                        targets,
                        accounts);
        CrossChecks.of(problems).check(configuration);
        return configuration;
    }

    private static WeightStoreLimits weightStore(Section section) {
        WeightStoreLimits limits =
                new WeightStoreLimits(
                        section.decimal("loadsPerSecond", MINIMUM_LOADS_PER_SECOND, MAXIMUM_COUNT),
                        (int) section.integer("concurrentLoads", 1, MAXIMUM_COUNT));
        section.reportUnknownKeys();
        return limits;
    }

    private static RequestClass requestClass(RequestClassId id, Section section) {
        RequestClass result =
                new RequestClass(
                        id,
                        section.integer("firstTokenMillis", 1, MAXIMUM_MILLIS),
                        section.integer("betweenTokensMillis", 1, MAXIMUM_MILLIS),
                        section.integer("totalMillis", 1, MAXIMUM_MILLIS),
                        (int) section.integer("weight", 1, MAXIMUM_CLASS_WEIGHT),
                        (int) section.integer("queueLimit", 0, MAXIMUM_COUNT));
        section.reportUnknownKeys();
        return result;
    }

    private static Model model(ModelId id, Section section) {
        Model result =
                new Model(
                        id,
                        section.text("version", VERSION, VERSION_FORM),
                        section.integer("memoryMebibytes", 1, MAXIMUM_MEBIBYTES));
        section.reportUnknownKeys();
        return result;
    }

    private static Adapter adapter(AdapterId id, Section section, Map<ModelId, Model> models) {
        Adapter result =
                new Adapter(
                        id,
                        section.reference("base", ModelId::of, models.keySet())
                                .orElse(AccountReader.PLACEHOLDER_MODEL),
                        section.text("version", VERSION, VERSION_FORM),
                        section.integer("memoryMebibytes", 1, MAXIMUM_MEBIBYTES));
        section.reportUnknownKeys();
        return result;
    }

    private static Service service(ServiceId id, Section section) {
        Service result =
                new Service(
                        id,
                        Set.copyOf(
                                section.texts(
                                        "repeatableMethods",
                                        METHOD,
                                        "an HTTP method in capitals, such as GET")));
        section.reportUnknownKeys();
        return result;
    }
}
