package org.tamaracktrack.core.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Compares two documents value by value. */
public final class DocumentDifference {

    private DocumentDifference() {}

    /**
     * A value that differs between the two documents.
     *
     * @param path the place in the documents
     * @param before the value in the first document; empty if absent
     * @param after the value in the second document; empty if absent
     */
    public record Change(String path, Optional<Object> before, Optional<Object> after) {

        /** Checks the arguments. */
        public Change {
            Objects.requireNonNull(path, "path is null");
        }
    }

    /**
     * Returns the differences between two documents.
     *
     * @param before the first document
     * @param after the second document
     * @return the values that differ, in the order of their paths
     */
    public static List<Change> between(Map<String, Object> before, Map<String, Object> after) {
        Objects.requireNonNull(before, "before is null");
        Objects.requireNonNull(after, "after is null");
        return compare("", Optional.of(before), Optional.of(after)).toList();
    }

    private static Stream<Change> compare(
            String path, Optional<Object> before, Optional<Object> after) {
        if (before.equals(after)) {
            return Stream.empty();
        }
        Optional<Map<String, Object>> left = before.flatMap(DocumentDifference::children);
        Optional<Map<String, Object>> right = after.flatMap(DocumentDifference::children);
        if (left.isEmpty() || right.isEmpty()) {
            return Stream.of(new Change(path, before, after));
        }
        TreeSet<String> keys = new TreeSet<>(left.get().keySet());
        keys.addAll(right.get().keySet());
        return keys.stream()
                .flatMap(
                        key ->
                                compare(
                                        path.isEmpty() ? key : path + "." + key,
                                        Optional.ofNullable(left.get().get(key)),
                                        Optional.ofNullable(right.get().get(key))));
    }

    private static Optional<Map<String, Object>> children(Object value) {
        Map<String, Object> children = new LinkedHashMap<>();
        if (value instanceof Map<?, ?> map) {
            map.forEach((key, child) -> children.put(String.valueOf(key), child));
            return Optional.of(children);
        }
        if (value instanceof List<?> list) {
            IntStream.range(0, list.size())
                    .forEach(index -> children.put("[" + index + "]", list.get(index)));
            return Optional.of(children);
        }
        return Optional.empty();
    }
}
