package org.tamaracktrack.bench.load;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.tamaracktrack.bench.caller.CallerKey;
import org.tamaracktrack.link.codec.Codecs;
import org.tamaracktrack.standins.http.Sha256;

/** Builds the configuration document of an experiment. */
public final class ExperimentDocument {
    /** The memory of one accelerator: room for four models, their adapters and the KV cache. */
    public static final long ACCELERATOR_MEBIBYTES = 36_000;

    /** The part of the memory of an accelerator that is reserved for the KV cache. */
    public static final long CACHE_MEBIBYTES = 2_000;

    private static final long MODEL_MEBIBYTES = 8_000;
    private static final long ADAPTER_MEBIBYTES = 64;
    private static final List<String> DATA_CENTRES = List.of("centre-1", "centre-2", "centre-3");

    private ExperimentDocument() {}

    /**
     * Returns the data centre of a target.
     *
     * @param index the index of the target
     * @return its data centre
     */
    public static String dataCentre(int index) {
        return DATA_CENTRES.get(index % DATA_CENTRES.size());
    }

    /**
     * Returns the API key of a client account.
     *
     * @param account the name of the client account
     * @return the account with its key
     */
    public static CallerKey accountKey(String account) {
        return new CallerKey(account, "key-of-" + account);
    }

    /**
     * Returns the configuration document as JSON.
     *
     * @param user the user whose site is configured
     * @param speed the speed of the experiment, by which times and rates are scaled
     * @return the encoded document
     */
    public static byte[] json(UserProfile user, Speed speed) {
        Objects.requireNonNull(user, "user is null");
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("format", 1);
        document.put("parameters", parameters(user));
        document.put("moveCost", user.moveCost());
        document.put("idempotencyWindowMillis", 600_000);
        document.put(
                "weightStore",
                Map.of(
                        "loadsPerSecond",
                        user.loadsPerSecond() * speed.factor(),
                        "concurrentLoads",
                        user.concurrentLoads()));
        document.put(
                "classes",
                Map.of(
                        "interactive", requestClass(speed, 2_000, 200, 20_000, 8, 32),
                        "batch", requestClass(speed, 60_000, 1_000, 300_000, 1, 256)));
        document.put("models", models(user));
        document.put("adapters", adapters(user));
        document.put("services", Map.of("portal", Map.of("repeatableMethods", List.of("GET"))));
        document.put("targets", targets(user, speed));
        document.put("templates", Map.of("account", template(user)));
        document.put("accounts", accounts(user));
        return Codecs.encode(Codecs.json(), document);
    }

    private static Map<String, Object> parameters(UserProfile user) {
        return IntStream.range(0, user.engines() + user.services())
                .boxed()
                .collect(Collectors.toMap(index -> "endpoint" + index, index -> "127.0.0.1:1"));
    }

    private static Map<String, Object> requestClass(
            Speed speed,
            long firstTokenMillis,
            long betweenTokensMillis,
            long totalMillis,
            int weight,
            int queueLimit) {
        return Map.of(
                "firstTokenMillis", speed.scaledMillis(firstTokenMillis),
                "betweenTokensMillis", speed.scaledMillis(betweenTokensMillis),
                "totalMillis", speed.scaledMillis(totalMillis),
                "weight", weight,
                "queueLimit", queueLimit);
    }

    private static Map<String, Object> models(UserProfile user) {
        return user.modelNames().stream()
                .collect(
                        Collectors.toMap(
                                name -> name,
                                name ->
                                        Map.of(
                                                "version",
                                                "1",
                                                "memoryMebibytes",
                                                MODEL_MEBIBYTES)));
    }

    private static Map<String, Object> adapters(UserProfile user) {
        Map<String, Object> adapters = new LinkedHashMap<>();
        IntStream.range(0, user.adapters())
                .forEach(
                        index ->
                                adapters.put(
                                        user.adapterNames().get(index),
                                        Map.of(
                                                "base",
                                                user.modelNames().get(user.baseModelIndex(index)),
                                                "version",
                                                "1",
                                                "memoryMebibytes",
                                                ADAPTER_MEBIBYTES)));
        return adapters;
    }

    private static Map<String, Object> targets(UserProfile user, Speed speed) {
        Map<String, Object> targets = new LinkedHashMap<>();
        IntStream.range(0, user.engines())
                .forEach(index -> targets.put("engine-" + index, engine(index, speed)));
        IntStream.range(user.engines(), user.engines() + user.services())
                .forEach(index -> targets.put("service-" + index, service(index)));
        return targets;
    }

    private static Map<String, Object> target(int index, String kind, int concurrency) {
        Map<String, Object> target = new LinkedHashMap<>();
        target.put("kind", kind);
        target.put("host", "host-" + index);
        target.put("dataCentre", dataCentre(index));
        target.put("endpoint", "${endpoint" + index + "}");
        target.put("concurrency", concurrency);
        return target;
    }

    private static Map<String, Object> engine(int index, Speed speed) {
        Map<String, Object> engine = target(index, "engine", speed.batchSize());
        engine.put("checksFencing", true);
        engine.put(
                "accelerators",
                Map.of(
                        "a0",
                        Map.of(
                                "memoryMebibytes", ACCELERATOR_MEBIBYTES,
                                "cacheMebibytes", CACHE_MEBIBYTES)));
        return engine;
    }

    private static Map<String, Object> service(int index) {
        Map<String, Object> service = target(index, "service", 32);
        service.put("service", "portal");
        return service;
    }

    private static Map<String, Object> template(UserProfile user) {
        Map<String, Object> account = new LinkedHashMap<>();
        account.put("keyHashes", List.of("${key}"));
        account.put("models", user.modelNames());
        account.put("adapters", user.adapterNames());
        account.put("services", List.of("portal"));
        account.put("classes", List.of("interactive", "batch"));
        account.put("defaultClass", "interactive");
        account.put("idempotentByDefault", true);
        account.put("share", "${share}");
        account.put("cap", 64);
        account.put("ratePerSecond", 100_000);
        account.put("queueLimit", 256);
        return Map.of("parameters", Map.of("key", Map.of(), "share", Map.of()), "account", account);
    }

    private static Map<String, Object> accounts(UserProfile user) {
        Map<String, Object> accounts = new LinkedHashMap<>();
        IntStream.range(0, user.accounts().size())
                .forEach(
                        index -> {
                            String name = user.accountNames().get(index);
                            accounts.put(
                                    name,
                                    Map.of(
                                            "template",
                                            "account",
                                            "parameters",
                                            Map.of(
                                                    "key", Sha256.hex(accountKey(name).key()),
                                                    "share", user.accounts().get(index))));
                        });
        return accounts;
    }
}
