package org.tamaracktrack.daemon.copies;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.tamaracktrack.core.copies.DemandBook;
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

/** The records of the duty's topic. */
final class DutyRecords {
    private DutyRecords() {}

    /**
     * What one daemon saw of demand.
     *
     * @param process the daemon
     * @param seen what it saw
     */
    record DemandRecord(String process, DemandBook.Seen seen) {}

    /**
     * What an engine holds.
     *
     * @param target the engine and its run
     * @param models its models with their adapters; empty when that is no longer sure
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

    static Optional<Holding> holding(byte[] bytes) {
        try {
            return JsonFields.parse(bytes)
                    .flatMap(
                            tree ->
                                    JsonFields.text(tree, "target")
                                            .map(target -> holding(TargetId.of(target), tree)));
        } catch (TamaracktrackException unreadable) {
            // Only our own daemons say this; one with names of a newer version says nothing of use,
            // and the registry's word holds.
            return Optional.empty();
        }
    }

    private static Holding holding(TargetId target, JsonNode tree) {
        long started = JsonFields.integer(tree, "started").orElse(0L);
        return new Holding(new TargetIncarnation(target, started), models(tree));
    }

    private static Optional<Map<ModelId, HeldModel>> models(JsonNode tree) {
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

    static Optional<LeaseRecord> lease(byte[] bytes) {
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
                                                                contact(tree))));
    }

    private static Optional<Contact> contact(JsonNode tree) {
        return JsonFields.text(tree, "address")
                .flatMap(
                        address ->
                                JsonFields.text(tree, "secret")
                                        .map(secret -> new Contact(address, secret)));
    }

    static byte[] encode(DemandRecord content) {
        return JsonFields.write(
                Map.of(
                        "process", content.process(),
                        "urgent", texts(content.seen().urgent()),
                        "patient", texts(content.seen().patient()),
                        "waiting", texts(content.seen().waiting())));
    }

    private static Map<String, Integer> texts(Map<ModelNeed, Integer> counts) {
        Map<String, Integer> texts = new LinkedHashMap<>();
        counts.forEach((need, count) -> texts.put(need.toString(), count));
        return texts;
    }

    static Optional<DemandRecord> demand(byte[] bytes) {
        return JsonFields.parse(bytes)
                .flatMap(
                        tree ->
                                JsonFields.text(tree, "process")
                                        .map(process -> new DemandRecord(process, seen(tree))));
    }

    private static DemandBook.Seen seen(JsonNode tree) {
        return new DemandBook.Seen(
                needs(tree.path("urgent")),
                needs(tree.path("patient")),
                needs(tree.path("waiting")));
    }

    private static Map<ModelNeed, Integer> needs(JsonNode counts) {
        Map<ModelNeed, Integer> needs = new LinkedHashMap<>();
        counts.fields()
                .forEachRemaining(
                        entry ->
                                need(entry.getKey())
                                        .ifPresent(
                                                need -> needs.put(need, entry.getValue().asInt())));
        return needs;
    }

    private static Optional<ModelNeed> need(String text) {
        try {
            return Optional.of(ModelNeed.parse(text));
        } catch (TamaracktrackException unreadable) {
            // Only our own daemons write here; a name from a newer version is left out.
            return Optional.empty();
        }
    }
}
