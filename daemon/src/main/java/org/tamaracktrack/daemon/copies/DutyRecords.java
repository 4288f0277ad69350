package org.tamaracktrack.daemon.copies;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.tamaracktrack.core.copies.DemandTracker;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.fleet.HeldModel;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.lease.ConditionalLease.Contact;
import org.tamaracktrack.core.lease.ConditionalLease.LeaseRecord;
import org.tamaracktrack.link.codec.JsonFields;

/** Encodes and decodes the records of the duty's topic as JSON. */
final class DutyRecords {
    private DutyRecords() {}

    /**
     * Holds the request counts that one daemon reports.
     *
     * @param process the unique name of the daemon's process
     * @param counts the request counts
     * @param workFactors by which factor work takes longer than usual at engines; only those that
     *     the daemon reports this time
     */
    record DemandRecord(
            String process,
            DemandTracker.DemandCounts counts,
            Map<TargetIncarnation, Double> workFactors) {

        /** Copies the factors. */
        DemandRecord {
            workFactors = Map.copyOf(workFactors);
        }
    }

    /**
     * Holds the models that an engine has loaded.
     *
     * @param target the incarnation of the engine
     * @param models the loaded models with their adapters; empty when they are no longer confirmed
     */
    record Holding(TargetIncarnation target, Optional<Map<ModelId, HeldModel>> models) {}

    static byte[] encode(Holding content) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("target", content.target().target().value());
        fields.put("started", content.target().startedAtMillis());
        content.models()
                .ifPresent(
                        models -> {
                            Map<String, List<String>> adapters = new LinkedHashMap<>();
                            models.values()
                                    .forEach(
                                            held ->
                                                    adapters.put(
                                                            held.model().value(),
                                                            held.adapters().stream()
                                                                    .map(AdapterId::value)
                                                                    .collect(Collectors.toList())));
                            fields.put("models", adapters);
                        });
        return JsonFields.write(fields);
    }

    static Optional<Holding> decodeHolding(byte[] bytes) {
        try {
            return JsonFields.parse(bytes)
                    .flatMap(
                            tree ->
                                    JsonFields.text(tree, "target")
                                            .map(
                                                    target ->
                                                            decodeHolding(
                                                                    TargetId.of(target), tree)));
        } catch (TamaracktrackException unreadable) {
            // Only daemons send these records. One with names that a newer version allows is
            // ignored, and the state of the registry applies.
            return Optional.empty();
        }
    }

    private static Holding decodeHolding(TargetId target, JsonNode tree) {
        long started = JsonFields.integer(tree, "started").orElse(0L);
        return new Holding(new TargetIncarnation(target, started), decodeModels(tree));
    }

    private static Optional<Map<ModelId, HeldModel>> decodeModels(JsonNode tree) {
        if (!tree.has("models")) {
            return Optional.empty();
        }
        JsonNode models = tree.path("models");
        Map<ModelId, HeldModel> held = new LinkedHashMap<>();
        models.fieldNames()
                .forEachRemaining(
                        name ->
                                held.put(
                                        ModelId.of(name),
                                        new HeldModel(
                                                ModelId.of(name),
                                                JsonFields.elements(models, name)
                                                        .map(JsonNode::asText)
                                                        .map(AdapterId::of)
                                                        .collect(Collectors.toSet()))));
        return Optional.of(held);
    }

    static byte[] encode(LeaseRecord content) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("holder", content.holder());
        fields.put("term", content.term());
        fields.put("claim", content.claim());
        fields.put("release", content.release());
        fields.put("nonce", content.nonce());
        content.contact()
                .ifPresent(
                        contact -> {
                            fields.put("address", contact.address());
                            fields.put("secret", contact.secret());
                        });
        return JsonFields.write(fields);
    }

    static Optional<LeaseRecord> decodeLease(byte[] bytes) {
        return JsonFields.parse(bytes)
                .flatMap(
                        tree ->
                                JsonFields.text(tree, "holder")
                                        .map(
                                                holder ->
                                                        new LeaseRecord(
                                                                holder,
                                                                JsonFields.integer(tree, "term")
                                                                        .orElse(0L),
                                                                JsonFields.flag(tree, "claim"),
                                                                JsonFields.flag(tree, "release"),
                                                                JsonFields.integer(tree, "nonce")
                                                                        .orElse(0L),
                                                                decodeContact(tree))));
    }

    private static Optional<Contact> decodeContact(JsonNode tree) {
        return JsonFields.text(tree, "address")
                .flatMap(
                        address ->
                                JsonFields.text(tree, "secret")
                                        .map(secret -> new Contact(address, secret)));
    }

    static byte[] encode(DemandRecord content) {
        Map<String, Object> fields =
                new LinkedHashMap<>(
                        Map.of(
                                "process", content.process(),
                                "urgent", encodeCounts(content.counts().urgent()),
                                "patient", encodeCounts(content.counts().patient()),
                                "waiting", encodeCounts(content.counts().waiting())));
        if (!content.workFactors().isEmpty()) {
            fields.put("factors", encodeWorkFactors(content.workFactors()));
        }
        return JsonFields.write(fields);
    }

    // Each is an array of target, start time and factor, which takes about half the bytes of an
    // object with named fields.
    private static List<List<Object>> encodeWorkFactors(
            Map<TargetIncarnation, Double> workFactors) {
        return workFactors.entrySet().stream()
                .map(
                        entry ->
                                List.<Object>of(
                                        entry.getKey().target().value(),
                                        entry.getKey().startedAtMillis(),
                                        entry.getValue()))
                .collect(Collectors.toList());
    }

    private static Map<String, Integer> encodeCounts(Map<ModelNeed, Integer> counts) {
        Map<String, Integer> texts = new LinkedHashMap<>();
        counts.forEach((need, count) -> texts.put(need.toString(), count));
        return texts;
    }

    static Optional<DemandRecord> decodeDemand(byte[] bytes) {
        return JsonFields.parse(bytes)
                .flatMap(
                        tree ->
                                JsonFields.text(tree, "process")
                                        .map(
                                                process ->
                                                        new DemandRecord(
                                                                process,
                                                                decodeCounts(tree),
                                                                decodeWorkFactors(tree))));
    }

    private static Map<TargetIncarnation, Double> decodeWorkFactors(JsonNode tree) {
        Map<TargetIncarnation, Double> workFactors = new LinkedHashMap<>();
        JsonFields.elements(tree, "factors")
                .filter(DutyRecords::isWorkFactor)
                .forEach(
                        factor ->
                                decodeTarget(factor.get(0).textValue())
                                        .ifPresent(
                                                target ->
                                                        workFactors.put(
                                                                new TargetIncarnation(
                                                                        target,
                                                                        factor.get(1).longValue()),
                                                                factor.get(2).doubleValue())));
        return workFactors;
    }

    private static boolean isWorkFactor(JsonNode factor) {
        return factor.path(0).isTextual()
                && factor.path(1).isIntegralNumber()
                && factor.path(1).canConvertToLong()
                && factor.path(2).isNumber();
    }

    private static Optional<TargetId> decodeTarget(String text) {
        try {
            return Optional.of(TargetId.of(text));
        } catch (TamaracktrackException unreadable) {
            // Only daemons write these records; a name that a newer version allows is omitted.
            return Optional.empty();
        }
    }

    private static DemandTracker.DemandCounts decodeCounts(JsonNode tree) {
        return new DemandTracker.DemandCounts(
                decodeNeeds(tree.path("urgent")),
                decodeNeeds(tree.path("patient")),
                decodeNeeds(tree.path("waiting")));
    }

    private static Map<ModelNeed, Integer> decodeNeeds(JsonNode counts) {
        Map<ModelNeed, Integer> needs = new LinkedHashMap<>();
        counts.fields()
                .forEachRemaining(
                        entry ->
                                decodeNeed(entry.getKey())
                                        .ifPresent(
                                                need -> needs.put(need, entry.getValue().asInt())));
        return needs;
    }

    private static Optional<ModelNeed> decodeNeed(String text) {
        try {
            return Optional.of(ModelNeed.parse(text));
        } catch (TamaracktrackException unreadable) {
            // Only daemons write these records; a name that a newer version allows is omitted.
            return Optional.empty();
        }
    }
}
