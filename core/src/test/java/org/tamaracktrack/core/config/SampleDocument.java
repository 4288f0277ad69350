package org.tamaracktrack.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Builds a small valid document as a mutable tree. */
final class SampleDocument {
    private SampleDocument() {}

    static Map<String, Object> tree() {
        Map<String, Object> tree = new LinkedHashMap<>();
        tree.put("format", 1);
        tree.put("parameters", map("engineOne", "127.0.0.1:9101"));
        tree.put("moveCost", 0.5);
        tree.put("idempotencyWindowMillis", 600_000);
        tree.put("weightStore", map("loadsPerSecond", 1.4, "concurrentLoads", 11));
        tree.put("classes", map("interactive", requestClass(2_000), "batch", requestClass(60_000)));
        tree.put("models", map("reader", model(8_192), "writer", model(8_192)));
        tree.put("adapters", map("north", adapter("reader")));
        tree.put("services", map("orders", map("repeatableMethods", list("GET", "HEAD"))));
        tree.put(
                "targets",
                map(
                        "engine-1",
                        engine("quito-1", "${engineOne}"),
                        "engine-2",
                        engine("quito-2", "127.0.0.1:9102"),
                        "service-1",
                        service()));
        tree.put("templates", map("customer", template()));
        tree.put("accounts", map("north-stores", account("a"), "south-stores", account("b")));
        return tree;
    }

    /** Returns the mutable map at a path of keys. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> at(Map<String, Object> tree, String... keys) {
        Map<String, Object> map = tree;
        for (String key : keys) {
            map = (Map<String, Object>) map.get(key);
        }
        return map;
    }

    static Map<String, Object> map(Object... keysAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        IntStream.range(0, keysAndValues.length / 2)
                .forEach(
                        index ->
                                map.put(
                                        (String) keysAndValues[2 * index],
                                        keysAndValues[2 * index + 1]));
        return map;
    }

    static List<Object> list(Object... elements) {
        return new ArrayList<>(List.of(elements));
    }

    private static Map<String, Object> requestClass(long firstTokenMillis) {
        return map(
                "firstTokenMillis",
                firstTokenMillis,
                "betweenTokensMillis",
                100,
                "totalMillis",
                firstTokenMillis * 5,
                "weight",
                4,
                "queueLimit",
                64);
    }

    private static Map<String, Object> model(long memoryMebibytes) {
        return map("version", "1", "memoryMebibytes", memoryMebibytes);
    }

    private static Map<String, Object> adapter(String base) {
        return map("base", base, "version", "1", "memoryMebibytes", 64);
    }

    private static Map<String, Object> engine(String dataCentre, String endpoint) {
        return map(
                "kind",
                "engine",
                "host",
                "host-of-" + dataCentre,
                "dataCentre",
                dataCentre,
                "endpoint",
                endpoint,
                "concurrency",
                16,
                "checksFencing",
                true,
                "accelerators",
                map("a0", map("memoryMebibytes", 24_576, "cacheMebibytes", 4_096)));
    }

    private static Map<String, Object> service() {
        return map(
                "kind",
                "service",
                "host",
                "host-3",
                "dataCentre",
                "quito-1",
                "endpoint",
                "127.0.0.1:9103",
                "concurrency",
                16,
                "service",
                "orders");
    }

    private static Map<String, Object> template() {
        return map(
                "parameters",
                map("key", map(), "models", map(), "share", map("default", 1)),
                "account",
                map(
                        "keyHashes",
                        list("${key}"),
                        "models",
                        list("reader", "${models}"),
                        "adapters",
                        list("north"),
                        "services",
                        list("orders"),
                        "classes",
                        list("interactive", "batch"),
                        "defaultClass",
                        "interactive",
                        "idempotentByDefault",
                        true,
                        "share",
                        "${share}",
                        "cap",
                        16,
                        "ratePerSecond",
                        50,
                        "queueLimit",
                        32));
    }

    private static Map<String, Object> account(String digit) {
        return map(
                "template",
                "customer",
                "parameters",
                map("key", digit.repeat(64), "models", list("writer")));
    }

    static String paths(List<Problem> problems) {
        return problems.stream().map(Problem::path).collect(Collectors.joining(" "));
    }
}
