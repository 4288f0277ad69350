package org.tamaracktrack.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Replaces {@code ${name}} in a document tree. A value that consists of {@code ${name}} alone
 * becomes the parameter's value, of any type; inside a longer string the reference is replaced by
 * the value's text; in a list, a parameter that is a list is replaced by its elements. {@code
 * $${name}} is an escape for the literal text {@code ${name}}.
 */
final class ParameterSubstitution {
    private static final Pattern REFERENCE =
            Pattern.compile("(\\$?)\\$\\{([A-Za-z][A-Za-z0-9_-]{0,63})}");

    private final Map<String, Object> parameters;
    private final ProblemCollector problems;
    private final ValueBudget budget;

    /** Limits the number of values that the expanded document may have. */
    static final class ValueBudget {
        private int remainingValues = DocumentLimits.MAXIMUM_VALUES;

        private boolean spend() {
            remainingValues--;
            return remainingValues >= 0;
        }

        boolean isSpent() {
            return remainingValues < 0;
        }
    }

    private ParameterSubstitution(
            Map<String, Object> parameters, ProblemCollector problems, ValueBudget budget) {
        this.parameters = parameters;
        this.problems = problems;
        this.budget = budget;
    }

    static ParameterSubstitution of(
            Map<String, Object> parameters, ProblemCollector problems, ValueBudget budget) {
        return new ParameterSubstitution(parameters, problems, budget);
    }

    // Substituted values are not scanned for references, so a parameter can't refer to itself and
    // expansion terminates. A large list that is referenced many times could still exhaust memory:
    // the budget bounds it.
    Object apply(String path, Object value) {
        if (!budget.spend()) {
            return DocumentValues.UNRESOLVED;
        }
        if (value instanceof String text) {
            return text(path, text);
        }
        if (value instanceof List<?> list) {
            return list(path, list);
        }
        if (value instanceof Map<?, ?> map) {
            Map<String, Object> result = new LinkedHashMap<>();
            map.forEach(
                    (key, child) ->
                            result.put(
                                    String.valueOf(key),
                                    apply(DocumentValues.childPath(path, key), child)));
            return result;
        }
        return value;
    }

    private List<Object> list(String path, List<?> list) {
        List<Object> result = new ArrayList<>();
        for (int index = 0; index < list.size() && !budget.isSpent(); index++) {
            Object element = list.get(index);
            Object replaced = apply(DocumentValues.elementPath(path, index), element);
            if (element instanceof String && replaced instanceof List<?> inner) {
                inner.stream().filter(ignored -> budget.spend()).forEach(result::add);
            } else {
                result.add(replaced);
            }
        }
        return result;
    }

    private Object text(String path, String text) {
        Matcher wholeText = REFERENCE.matcher(text);
        if (wholeText.matches() && wholeText.group(1).isEmpty()) {
            return lookUp(path, wholeText.group(2));
        }
        Matcher references = REFERENCE.matcher(text);
        StringBuilder result = new StringBuilder();
        boolean resolved = true;
        while (references.find()) {
            Object replacement = replacement(path, references);
            resolved &= replacement != DocumentValues.UNRESOLVED;
            references.appendReplacement(
                    result, Matcher.quoteReplacement(String.valueOf(replacement)));
        }
        references.appendTail(result);
        return resolved ? result.toString() : DocumentValues.UNRESOLVED;
    }

    private Object replacement(String path, Matcher reference) {
        if (!reference.group(1).isEmpty()) {
            return reference.group().substring(1);
        }
        Object value = lookUp(path, reference.group(2));
        if (value instanceof Map<?, ?> || value instanceof List<?>) {
            problems.add(
                    ProblemKind.WRONG_TYPE,
                    path,
                    DocumentValues.describe(value)
                            + " for ${"
                            + reference.group(2)
                            + "} inside a text",
                    "text, a number or true/false");
            return DocumentValues.UNRESOLVED;
        }
        return value;
    }

    private Object lookUp(String path, String name) {
        if (!parameters.containsKey(name)) {
            problems.add(
                    ProblemKind.UNSET_PARAMETER,
                    path,
                    "${" + name + "}, which has no value",
                    DocumentValues.oneOf(parameters.keySet()));
            return DocumentValues.UNRESOLVED;
        }
        return parameters.get(name);
    }
}
