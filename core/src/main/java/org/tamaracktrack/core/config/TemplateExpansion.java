package org.tamaracktrack.core.config;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.tamaracktrack.core.config.Configuration.ClientAccount;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.TemplateId;

/** Substitutes parameters in a document and creates client accounts from templates. */
final class TemplateExpansion {
    private static final String PARAMETERS = "parameters";
    private static final String TEMPLATES = "templates";
    private static final String ACCOUNTS = "accounts";
    private static final Pattern PARAMETER_NAME = Pattern.compile("[A-Za-z][A-Za-z0-9_-]{0,63}");
    private static final String PARAMETER_FORM = "a letter, then up to 63 letters, digits, _ and -";

    private final ProblemCollector problems;
    private final ParameterSubstitution.ValueBudget budget;
    private final Map<String, Object> documentParameters;
    private final Map<String, Object> document;
    private final Section root;

    /** Reads one client account from its expanded section. */
    @FunctionalInterface
    interface AccountSectionReader {
        ClientAccount read(ClientAccountId id, TemplateId template, Section section);
    }

    private record Template(Map<String, Section> parameters, Object account) {}

    private TemplateExpansion(Map<String, Object> tree, ProblemCollector problems) {
        this.problems = problems;
        this.budget = new ParameterSubstitution.ValueBudget();
        this.root = Section.of("", tree, problems);
        this.documentParameters =
                tree.containsKey(PARAMETERS) ? parameterValues(root.child(PARAMETERS)) : Map.of();
        this.document = substituteAll(tree);
    }

    static TemplateExpansion of(Map<String, Object> tree, ProblemCollector problems) {
        return new TemplateExpansion(tree, problems);
    }

    /** Returns the document with its own parameters substituted; templates are left unchanged. */
    Map<String, Object> document() {
        return document;
    }

    boolean isTooLarge() {
        if (budget.isSpent()) {
            DocumentLimits.reportTooManyValues(problems);
        }
        return budget.isSpent();
    }

    void markKeysKnown(Section section) {
        Set.of(PARAMETERS, TEMPLATES, ACCOUNTS).forEach(section::has);
    }

    Map<ClientAccountId, ClientAccount> accounts(
            AccountSectionReader reader, Function<String, ClientAccountId> factory) {
        Map<TemplateId, Template> templates =
                root.entries(TEMPLATES, TemplateId::of, (id, section) -> template(section));
        Map<ClientAccountId, Optional<ClientAccount>> read =
                root.entries(
                        ACCOUNTS,
                        factory,
                        (id, section) -> account(id, section, templates, reader));
        isTooLarge();
        return read.values().stream()
                .flatMap(Optional::stream)
                .collect(Collectors.toMap(ClientAccount::id, Function.identity()));
    }

    private Map<String, Object> substituteAll(Map<String, Object> tree) {
        ParameterSubstitution substitution =
                ParameterSubstitution.of(documentParameters, problems, budget);
        Map<String, Object> result = new LinkedHashMap<>();
        tree.forEach(
                (key, value) ->
                        result.put(
                                key,
                                Set.of(PARAMETERS, TEMPLATES, ACCOUNTS).contains(key)
                                        ? value
                                        : substitution.apply(key, value)));
        return result;
    }

    private Template template(Section section) {
        Map<String, Section> parameters = new LinkedHashMap<>();
        if (section.has(PARAMETERS)) {
            Section declared = section.child(PARAMETERS);
            declared.children()
                    .forEach((name, value) -> parameters.put(name, declared.child(name)));
            parameters.keySet().forEach(name -> checkParameterName(declared, name));
            parameters.values().forEach(TemplateExpansion::checkDeclaration);
        }
        Section account = section.child("account");
        section.reportUnknownKeys();
        return new Template(parameters, account.children());
    }

    private static void checkDeclaration(Section declaration) {
        declaration.has("default");
        declaration.reportUnknownKeys();
    }

    private Optional<ClientAccount> account(
            ClientAccountId id,
            Section section,
            Map<TemplateId, Template> templates,
            AccountSectionReader reader) {
        Optional<TemplateId> templateId =
                section.reference("template", TemplateId::of, templates.keySet());
        Map<String, Object> givenParameters =
                section.has(PARAMETERS) ? givenParameters(section) : Map.of();
        section.reportUnknownKeys();
        if (templateId.isEmpty()) {
            return Optional.empty();
        }
        Template template = templates.get(templateId.get());
        checkGivenParameters(section, template, givenParameters);
        Map<String, Object> values = parameterValuesFor(template, givenParameters);
        ParameterSubstitution substitution = ParameterSubstitution.of(values, problems, budget);
        Object expanded = substitution.apply(section.path(), template.account());
        if (budget.isSpent()) {
            return Optional.empty();
        }
        Section expandedSection = Section.of(section.path(), expanded, problems);
        return Optional.of(reader.read(id, templateId.get(), expandedSection));
    }

    private Map<String, Object> givenParameters(Section section) {
        Section parameters = section.child(PARAMETERS);
        ParameterSubstitution substitution =
                ParameterSubstitution.of(documentParameters, problems, budget);
        Map<String, Object> result = new LinkedHashMap<>();
        parameters
                .children()
                .forEach(
                        (name, value) ->
                                result.put(name, substitution.apply(parameters.path(name), value)));
        return result;
    }

    // A required parameter without a value is reported once, at the account that has to set it.
    private static void checkGivenParameters(
            Section section, Template template, Map<String, Object> givenParameters) {
        template.parameters().entrySet().stream()
                .filter(declared -> !givenParameters.containsKey(declared.getKey()))
                .filter(declared -> !declared.getValue().has("default"))
                .forEach(
                        declared ->
                                section.addProblem(
                                        ProblemKind.MISSING,
                                        PARAMETERS + "." + declared.getKey(),
                                        "nothing",
                                        "a value: the template has no default"));
        givenParameters.keySet().stream()
                .filter(name -> !template.parameters().containsKey(name))
                .forEach(
                        name ->
                                section.addProblem(
                                        ProblemKind.UNKNOWN_KEY,
                                        PARAMETERS + "." + name,
                                        "a parameter that the template does not have",
                                        DocumentValues.oneOf(template.parameters().keySet())));
    }

    private Map<String, Object> parameterValuesFor(
            Template template, Map<String, Object> givenParameters) {
        Map<String, Object> values = new LinkedHashMap<>(documentParameters);
        template.parameters()
                .forEach(
                        (name, declaration) ->
                                values.put(
                                        name,
                                        declaration.has("default")
                                                ? declaration.raw("default")
                                                : DocumentValues.UNRESOLVED));
        values.putAll(givenParameters);
        return values;
    }

    private Map<String, Object> parameterValues(Section section) {
        section.children().keySet().forEach(name -> checkParameterName(section, name));
        return section.children();
    }

    private static void checkParameterName(Section section, String name) {
        if (!PARAMETER_NAME.matcher(name).matches()) {
            section.addProblem(
                    ProblemKind.BAD_FORM, name, DocumentValues.describe(name), PARAMETER_FORM);
        }
    }
}
