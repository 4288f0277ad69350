package org.tamaracktrack.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Replaces {@code ${name}} in a document tree. A value that is nothing but {@code ${name}} becomes
 * the parameter's value, whatever its type; inside a longer text it becomes the value's text; in a
 * list, a parameter that is a list adds its elements. {@code $${name}} stands for the text itself.
 */
final class ParameterSubstitution {
    private static final Pattern REFERENCE =
            Pattern.compile("(\\$?)\\$\\{([A-Za-z][A-Za-z0-9_-]{0,63})}");

    private final Map<String, Object> parameters;
    private final ProblemCollector problems;
    private final Budget budget;

    /** How many more values the expanded document may have. */
    static final class Budget {
        private int left = DocumentLimits.MAXIMUM_VALUES;

        private boolean spend() {
            left--;
            return left >= 0;
        }

        boolean isSpent() {
            return left < 0;
        }
    }

    private ParameterSubstitution(
            Map<String, Object> parameters, ProblemCollector problems, Budget budget) {
        this.parameters = parameters;
        this.problems = problems;
        this.budget = budget;
    }

    static ParameterSubstitution of(
            Map<String, Object> parameters, ProblemCollector problems, Budget budget) {
        return new ParameterSubstitution(parameters, problems, budget);
    }

    // Values put in are not searched again, so a parameter can't refer to itself and expansion
    // ends. A large list used many times over could still fill the memory: the budget bounds it.
    Object apply(String path, Object value) {
        if (!budget.spend()) {
            return Values.UNRESOLVED;
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
                            result.put(String.valueOf(key), apply(Values.child(path, key), child)));
            return result;
        }
        return value;
    }

    private List<Object> list(String path, List<?> list) {
        List<Object> result = new ArrayList<>();
        for (int index = 0; index < list.size() && !budget.isSpent(); index++) {
            Object element = list.get(index);
            Object replaced = apply(Values.element(path, index), element);
            if (element instanceof String && replaced instanceof List<?> inner) {
                inner.stream().filter(ignored -> budget.spend()).forEach(result::add);
            } else {
                result.add(replaced);
            }
        }
        return result;
    }

    private Object text(String path, String text) {
        Matcher whole = REFERENCE.matcher(text);
        if (whole.matches() && whole.group(1).isEmpty()) {
            return lookUp(path, whole.group(2));
        }
        Matcher parts = REFERENCE.matcher(text);
        StringBuilder result = new StringBuilder();
        boolean resolved = true;
        while (parts.find()) {
            Object part = part(path, parts);
            resolved &= part != Values.UNRESOLVED;
            parts.appendReplacement(result, Matcher.quoteReplacement(String.valueOf(part)));
        }
        parts.appendTail(result);
        return resolved ? result.toString() : Values.UNRESOLVED;
    }

    private Object part(String path, Matcher reference) {
        if (!reference.group(1).isEmpty()) {
            return reference.group().substring(1);
        }
        Object value = lookUp(path, reference.group(2));
        if (value instanceof Map<?, ?> || value instanceof List<?>) {
            problems.add(
                    ProblemKind.WRONG_TYPE,
                    path,
                    Values.describe(value) + " for ${" + reference.group(2) + "} inside a text",
                    "text, a number or true/false");
            return Values.UNRESOLVED;
        }
        return value;
    }

    private Object lookUp(String path, String name) {
        if (!parameters.containsKey(name)) {
            problems.add(
                    ProblemKind.UNSET_PARAMETER,
                    path,
                    "${" + name + "}, which has no value",
                    Values.oneOf(parameters.keySet()));
            return Values.UNRESOLVED;
        }
        return parameters.get(name);
    }
}
