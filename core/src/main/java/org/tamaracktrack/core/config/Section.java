package org.tamaracktrack.core.config;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.tamaracktrack.core.error.TamaracktrackException;

/**
 * A map of a document with typed access to its values. A missing or wrong value is reported as a
 * problem and a placeholder is returned, so that reading continues and finds further problems. A
 * document with a problem is rejected, so the placeholders are never used.
 */
final class Section {
    private static final String IDENTIFIER = "1 to 128 characters of letters, digits and . _ : / -";

    private final String path;
    private final Map<String, Object> values;
    private final ProblemCollector problems;
    private final Set<String> knownKeys = new TreeSet<>();

    private Section(String path, Map<String, Object> values, ProblemCollector problems) {
        this.path = path;
        this.values = values;
        this.problems = problems;
    }

    static Section of(String path, Object value, ProblemCollector problems) {
        if (value instanceof Map<?, ?> map) {
            Map<String, Object> values = new LinkedHashMap<>();
            map.forEach((key, child) -> values.put(String.valueOf(key), child));
            return new Section(path, values, problems);
        }
        if (value != DocumentValues.UNRESOLVED) {
            problems.add(ProblemKind.WRONG_TYPE, path, DocumentValues.describe(value), "a map");
        }
        // The problems of everything below are discarded: all of it would be reported as missing.
        return new Section(path, Map.of(), new ProblemCollector());
    }

    String path() {
        return path;
    }

    String path(String key) {
        return DocumentValues.childPath(path, key);
    }

    boolean has(String key) {
        knownKeys.add(key);
        return values.containsKey(key);
    }

    Object raw(String key) {
        knownKeys.add(key);
        return values.get(key);
    }

    long integer(String key, long minimum, long maximum) {
        Optional<Object> value = requiredValue(key);
        if (value.isEmpty()) {
            return minimum;
        }
        String allowed = "a whole number from " + minimum + " to " + maximum;
        if (!(value.get() instanceof Number number) || !isWhole(number)) {
            reportWrongType(key, value.get(), allowed);
            return minimum;
        }
        BigInteger whole =
                number instanceof BigInteger large ? large : BigInteger.valueOf(number.longValue());
        if (whole.compareTo(BigInteger.valueOf(minimum)) < 0
                || whole.compareTo(BigInteger.valueOf(maximum)) > 0) {
            addProblem(ProblemKind.OUT_OF_RANGE, key, DocumentValues.describe(number), allowed);
            return minimum;
        }
        return whole.longValue();
    }

    long integer(String key, long minimum, long maximum, long defaultValue) {
        return has(key) ? integer(key, minimum, maximum) : defaultValue;
    }

    double decimal(String key, double minimum, double maximum) {
        Optional<Object> value = requiredValue(key);
        if (value.isEmpty()) {
            return minimum;
        }
        String allowed = "a number from " + minimum + " to " + maximum;
        if (!(value.get() instanceof Number number)) {
            reportWrongType(key, value.get(), allowed);
            return minimum;
        }
        double result = number.doubleValue();
        if (!(result >= minimum && result <= maximum)) {
            addProblem(ProblemKind.OUT_OF_RANGE, key, DocumentValues.describe(number), allowed);
            return minimum;
        }
        return result;
    }

    boolean flag(String key) {
        Optional<Object> value = requiredValue(key);
        if (value.isPresent() && !(value.get() instanceof Boolean)) {
            reportWrongType(key, value.get(), "true or false");
        }
        return value.filter(Boolean.TRUE::equals).isPresent();
    }

    boolean flag(String key, boolean defaultValue) {
        return has(key) ? flag(key) : defaultValue;
    }

    String text(String key, Pattern pattern, String allowed) {
        return requiredValue(key)
                .flatMap(value -> text(path(key), value, pattern, allowed))
                .orElse("");
    }

    List<String> texts(String key, Pattern pattern, String allowed) {
        List<Object> elements = list(key);
        return IntStream.range(0, elements.size())
                .mapToObj(
                        index ->
                                text(
                                        DocumentValues.elementPath(path(key), index),
                                        elements.get(index),
                                        pattern,
                                        allowed))
                .flatMap(Optional::stream)
                .toList();
    }

    <T> Optional<T> identifier(String key, Function<String, T> factory) {
        return requiredValue(key).flatMap(value -> identifier(path(key), value, factory));
    }

    <T> Optional<T> reference(String key, Function<String, T> factory, Set<T> defined) {
        return identifier(key, factory).filter(id -> isDefined(path(key), id, defined));
    }

    <T> Set<T> references(String key, Function<String, T> factory, Set<T> defined) {
        List<Object> elements = list(key);
        Set<T> result = new LinkedHashSet<>();
        for (int index = 0; index < elements.size(); index++) {
            String elementPath = DocumentValues.elementPath(path(key), index);
            identifier(elementPath, elements.get(index), factory)
                    .filter(id -> isDefined(elementPath, id, defined))
                    .filter(id -> !result.add(id))
                    .ifPresent(id -> reportDuplicate(elementPath, id));
        }
        return result;
    }

    /**
     * Reads a map whose keys are identifiers. Entries with other keys are reported and left out.
     *
     * @param key the map's key
     * @param factory creates an identifier from text
     * @param reader reads one entry
     * @param <K> the identifier's type
     * @param <V> the entry's type
     * @return the entries whose keys are identifiers
     */
    <K, V> Map<K, V> entries(String key, Function<String, K> factory, EntryReader<K, V> reader) {
        Map<K, V> result = new LinkedHashMap<>();
        if (!has(key)) {
            return result;
        }
        Section map = child(key);
        map.values.forEach(
                (name, value) ->
                        identifier(map.path(name), name, factory)
                                .ifPresent(
                                        id -> {
                                            Section entry = of(map.path(name), value, problems);
                                            result.put(id, reader.read(id, entry));
                                        }));
        return result;
    }

    /** Reads one entry of a map. */
    @FunctionalInterface
    interface EntryReader<K, V> {
        V read(K id, Section entry);
    }

    Section child(String key) {
        return requiredValue(key)
                .map(value -> of(path(key), value, problems))
                .orElseGet(() -> new Section(path(key), Map.of(), new ProblemCollector()));
    }

    Map<String, Object> children() {
        knownKeys.addAll(values.keySet());
        return values;
    }

    void addProblem(ProblemKind kind, String key, String found, String allowed) {
        problems.add(kind, path(key), found, allowed);
    }

    // Without this check, a misspelt key would be ignored and its default would apply unnoticed.
    void reportUnknownKeys() {
        values.keySet().stream()
                .filter(key -> !knownKeys.contains(key))
                .forEach(
                        key ->
                                addProblem(
                                        ProblemKind.UNKNOWN_KEY,
                                        key,
                                        "a key that is not known here",
                                        DocumentValues.oneOf(knownKeys)));
    }

    private Optional<Object> requiredValue(String key) {
        knownKeys.add(key);
        Object value = values.get(key);
        if (value == null) {
            addProblem(ProblemKind.MISSING, key, "nothing", "a value");
        }
        return Optional.ofNullable(value).filter(found -> found != DocumentValues.UNRESOLVED);
    }

    private List<Object> list(String key) {
        Optional<Object> value = requiredValue(key);
        if (value.isPresent() && !(value.get() instanceof List<?>)) {
            reportWrongType(key, value.get(), "a list");
        }
        return value.filter(List.class::isInstance)
                .map(found -> new ArrayList<Object>((List<?>) found))
                .orElseGet(ArrayList::new);
    }

    private Optional<String> text(String valuePath, Object value, Pattern pattern, String allowed) {
        if (value == DocumentValues.UNRESOLVED) {
            return Optional.empty();
        }
        if (!(value instanceof String text)) {
            problems.add(
                    ProblemKind.WRONG_TYPE,
                    valuePath,
                    DocumentValues.describe(value),
                    "text: " + allowed + (value instanceof Number ? "; put it in quotes" : ""));
            return Optional.empty();
        }
        if (!pattern.matcher(text).matches()) {
            problems.add(ProblemKind.BAD_FORM, valuePath, DocumentValues.describe(text), allowed);
            return Optional.empty();
        }
        return Optional.of(text);
    }

    private <T> Optional<T> identifier(
            String valuePath, Object value, Function<String, T> factory) {
        if (value == DocumentValues.UNRESOLVED) {
            return Optional.empty();
        }
        if (!(value instanceof String text)) {
            problems.add(
                    ProblemKind.WRONG_TYPE, valuePath, DocumentValues.describe(value), IDENTIFIER);
            return Optional.empty();
        }
        try {
            return Optional.of(factory.apply(text));
        } catch (TamaracktrackException failure) {
            problems.add(
                    ProblemKind.BAD_FORM, valuePath, DocumentValues.describe(text), IDENTIFIER);
            return Optional.empty();
        }
    }

    private <T> boolean isDefined(String valuePath, T id, Set<T> defined) {
        if (!defined.contains(id)) {
            problems.add(
                    ProblemKind.UNKNOWN_NAME,
                    valuePath,
                    DocumentValues.describe(id.toString()),
                    DocumentValues.oneOf(defined));
            return false;
        }
        return true;
    }

    private void reportDuplicate(String valuePath, Object id) {
        problems.add(
                ProblemKind.DUPLICATE,
                valuePath,
                DocumentValues.describe(id.toString()) + ", a second time",
                "each name once");
    }

    private void reportWrongType(String key, Object value, String allowed) {
        addProblem(ProblemKind.WRONG_TYPE, key, DocumentValues.describe(value), allowed);
    }

    private static boolean isWhole(Number number) {
        return number instanceof Integer
                || number instanceof Long
                || number instanceof BigInteger
                || number instanceof Short
                || number instanceof Byte;
    }
}
