package org.tamaracktrack.daemon.copies;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.tamaracktrack.core.copies.DemandBook;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.lease.ConditionalLease.LeaseRecord;
import org.tamaracktrack.link.codec.Trees;

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

    static byte[] encode(LeaseRecord content) {
        return Trees.write(
                Map.of(
                        "holder", content.holder(),
                        "term", content.term(),
                        "claim", content.claim(),
                        "release", content.release(),
                        "nonce", content.nonce()));
    }

    static Optional<LeaseRecord> lease(byte[] bytes) {
        return Trees.parse(bytes)
                .flatMap(
                        tree ->
                                Trees.text(tree, "holder")
                                        .map(
                                                holder ->
                                                        new LeaseRecord(
                                                                holder,
                                                                Trees.whole(tree, "term")
                                                                        .orElse(0L),
                                                                Trees.flag(tree, "claim"),
                                                                Trees.flag(tree, "release"),
                                                                Trees.whole(tree, "nonce")
                                                                        .orElse(0L))));
    }

    static byte[] encode(DemandRecord content) {
        return Trees.write(
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
        return Trees.parse(bytes)
                .flatMap(
                        tree ->
                                Trees.text(tree, "process")
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
