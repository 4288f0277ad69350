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
 * A map of a document with typed access to its values. What is missing or wrong is reported, and a
 * stand-in value returned so that reading goes on; nothing is accepted once there is a problem, so
 * the stand-in values are never used.
 */
final class Section {
    private static final String IDENTIFIER = "1 to 128 characters of letters, digits and . _ : / -";

    private final String path;
    private final Map<String, Object> values;
    private final ProblemCollector problems;
    private final Set<String> known = new TreeSet<>();

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
        if (value != Values.UNRESOLVED) {
            problems.add(ProblemKind.WRONG_TYPE, path, Values.describe(value), "a map");
        }
        // Everything below a value that is no map would be reported missing: one problem is enough.
        return new Section(path, Map.of(), new ProblemCollector());
    }

    String path() {
        return path;
    }

    String path(String key) {
        return Values.child(path, key);
    }

    boolean has(String key) {
        known.add(key);
        return values.containsKey(key);
    }

    Object raw(String key) {
        known.add(key);
        return values.get(key);
    }

    long integer(String key, long minimum, long maximum) {
        Optional<Object> value = present(key);
        if (value.isEmpty()) {
            return minimum;
        }
        String allowed = "a whole number from " + minimum + " to " + maximum;
        if (!(value.get() instanceof Number number) || !isWhole(number)) {
            wrongType(key, value.get(), allowed);
            return minimum;
        }
        BigInteger whole =
                number instanceof BigInteger large ? large : BigInteger.valueOf(number.longValue());
        if (whole.compareTo(BigInteger.valueOf(minimum)) < 0
                || whole.compareTo(BigInteger.valueOf(maximum)) > 0) {
            problem(ProblemKind.OUT_OF_RANGE, key, Values.describe(number), allowed);
            return minimum;
        }
        return whole.longValue();
    }

    long integer(String key, long minimum, long maximum, long absent) {
        return has(key) ? integer(key, minimum, maximum) : absent;
    }

    double decimal(String key, double minimum, double maximum) {
        Optional<Object> value = present(key);
        if (value.isEmpty()) {
            return minimum;
        }
        String allowed = "a number from " + minimum + " to " + maximum;
        if (!(value.get() instanceof Number number)) {
            wrongType(key, value.get(), allowed);
            return minimum;
        }
        double result = number.doubleValue();
        if (!(result >= minimum && result <= maximum)) {
            problem(ProblemKind.OUT_OF_RANGE, key, Values.describe(number), allowed);
            return minimum;
        }
        return result;
    }

    boolean flag(String key) {
        Optional<Object> value = present(key);
        if (value.isPresent() && !(value.get() instanceof Boolean)) {
            wrongType(key, value.get(), "true or false");
        }
        return value.filter(Boolean.TRUE::equals).isPresent();
    }

    boolean flag(String key, boolean absent) {
        return has(key) ? flag(key) : absent;
    }

    String text(String key, Pattern form, String allowed) {
        return present(key).flatMap(value -> text(path(key), value, form, allowed)).orElse("");
    }

    List<String> texts(String key, Pattern form, String allowed) {
        List<Object> elements = list(key);
        return IntStream.range(0, elements.size())
                .mapToObj(
                        index ->
                                text(
                                        Values.element(path(key), index),
                                        elements.get(index),
                                        form,
                                        allowed))
                .flatMap(Optional::stream)
                .toList();
    }

    <T> Optional<T> identifier(String key, Function<String, T> type) {
        return present(key).flatMap(value -> identifier(path(key), value, type));
    }

    <T> Optional<T> reference(String key, Function<String, T> type, Set<T> defined) {
        return identifier(key, type).filter(id -> isDefined(path(key), id, defined));
    }

    <T> Set<T> references(String key, Function<String, T> type, Set<T> defined) {
        List<Object> elements = list(key);
        Set<T> result = new LinkedHashSet<>();
        for (int index = 0; index < elements.size(); index++) {
            String place = Values.element(path(key), index);
            identifier(place, elements.get(index), type)
                    .filter(id -> isDefined(place, id, defined))
                    .filter(id -> !result.add(id))
                    .ifPresent(id -> duplicate(place, id));
        }
        return result;
    }

    /**
     * Reads a map whose keys are identifiers.
     *
     * @param key the map's key
     * @param type makes an identifier
     * @param read reads one entry
     * @param <K> the identifier's type
     * @param <V> the entry's type
     * @return the entries whose keys are identifiers
     */
    <K, V> Map<K, V> entries(String key, Function<String, K> type, EntryReader<K, V> read) {
        Map<K, V> result = new LinkedHashMap<>();
        if (!has(key)) {
            return result;
        }
        Section map = child(key);
        map.values.forEach(
                (name, value) ->
                        identifier(map.path(name), name, type)
                                .ifPresent(
                                        id -> {
                                            Section entry = of(map.path(name), value, problems);
                                            result.put(id, read.read(id, entry));
                                        }));
        return result;
    }

    /** Reads one entry of a map. */
    @FunctionalInterface
    interface EntryReader<K, V> {
        V read(K id, Section entry);
    }

    Section child(String key) {
        return present(key)
                .map(value -> of(path(key), value, problems))
                .orElseGet(() -> new Section(path(key), Map.of(), new ProblemCollector()));
    }

    Map<String, Object> children() {
        known.addAll(values.keySet());
        return values;
    }

    void problem(ProblemKind kind, String key, String found, String allowed) {
        problems.add(kind, path(key), found, allowed);
    }

    // A misspelt key would be ignored, and its default hold, without anyone noticing.
    void finish() {
        values.keySet().stream()
                .filter(key -> !known.contains(key))
                .forEach(
                        key ->
                                problem(
                                        ProblemKind.UNKNOWN_KEY,
                                        key,
                                        "a key that is not known here",
                                        Values.oneOf(known)));
    }

    private Optional<Object> present(String key) {
        known.add(key);
        Object value = values.get(key);
        if (value == null) {
            problem(ProblemKind.MISSING, key, "nothing", "a value");
        }
        return Optional.ofNullable(value).filter(found -> found != Values.UNRESOLVED);
    }

    private List<Object> list(String key) {
        Optional<Object> value = present(key);
        if (value.isPresent() && !(value.get() instanceof List<?>)) {
            wrongType(key, value.get(), "a list");
        }
        return value.filter(List.class::isInstance)
                .map(found -> new ArrayList<Object>((List<?>) found))
                .orElseGet(ArrayList::new);
    }

    private Optional<String> text(String place, Object value, Pattern form, String allowed) {
        if (value == Values.UNRESOLVED) {
            return Optional.empty();
        }
        if (!(value instanceof String text)) {
            problems.add(
                    ProblemKind.WRONG_TYPE,
                    place,
                    Values.describe(value),
                    "text: " + allowed + (value instanceof Number ? "; put it in quotes" : ""));
            return Optional.empty();
        }
        if (!form.matcher(text).matches()) {
            problems.add(ProblemKind.BAD_FORM, place, Values.describe(text), allowed);
            return Optional.empty();
        }
        return Optional.of(text);
    }

    private <T> Optional<T> identifier(String place, Object value, Function<String, T> type) {
        if (value == Values.UNRESOLVED) {
            return Optional.empty();
        }
        if (!(value instanceof String text)) {
            problems.add(ProblemKind.WRONG_TYPE, place, Values.describe(value), IDENTIFIER);
            return Optional.empty();
        }
        try {
            return Optional.of(type.apply(text));
        } catch (TamaracktrackException failure) {
            problems.add(ProblemKind.BAD_FORM, place, Values.describe(text), IDENTIFIER);
            return Optional.empty();
        }
    }

    private <T> boolean isDefined(String place, T id, Set<T> defined) {
        if (!defined.contains(id)) {
            problems.add(
                    ProblemKind.UNKNOWN_NAME,
                    place,
                    Values.describe(id.toString()),
                    Values.oneOf(defined));
            return false;
        }
        return true;
    }

    private void duplicate(String place, Object id) {
        problems.add(
                ProblemKind.DUPLICATE,
                place,
                Values.describe(id.toString()) + ", a second time",
                "each name once");
    }

    private void wrongType(String key, Object value, String allowed) {
        problem(ProblemKind.WRONG_TYPE, key, Values.describe(value), allowed);
    }

    private static boolean isWhole(Number number) {
        return number instanceof Integer
                || number instanceof Long
                || number instanceof BigInteger
                || number instanceof Short
                || number instanceof Byte;
    }
}
