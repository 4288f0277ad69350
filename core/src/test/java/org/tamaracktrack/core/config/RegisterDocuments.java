package org.tamaracktrack.core.config;

import java.util.List;
import java.util.Map;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.PublicationId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogRecord;

/** Maps short texts to small document trees, for tests of the register. */
final class RegisterDocuments {
    static final String INVALID = "invalid";
    static final String LATER_FORMAT = "later";
    static final String BROKEN = "broken";

    private RegisterDocuments() {}

    static Map<String, Object> parse(String document) {
        if (document.equals(BROKEN)) {
            throw TamaracktrackException.of(ErrorCode.INVALID_CONFIGURATION, "broken");
        }
        Map<String, Object> tree = smallest();
        if (document.startsWith(INVALID)) {
            tree.remove("moveCost");
        }
        if (document.startsWith(LATER_FORMAT)) {
            tree.put("format", ConfigurationReader.FORMAT + 1);
        }
        return tree;
    }

    private static Map<String, Object> smallest() {
        return SampleDocument.map(
                "moveCost",
                0,
                "idempotencyWindowMillis",
                600_000,
                "weightStore",
                SampleDocument.map("loadsPerSecond", 1, "concurrentLoads", 1),
                "classes",
                SampleDocument.map(
                        "only",
                        SampleDocument.map(
                                "firstTokenMillis",
                                1,
                                "betweenTokensMillis",
                                1,
                                "totalMillis",
                                1,
                                "weight",
                                1,
                                "queueLimit",
                                1)));
    }

    static LogRecord publication(long offset, String id, long basedOn, String document) {
        return LogRecord.of(
                offset,
                offset,
                new LogEntry.Publication(PublicationId.of(id), basedOn, document, "op", ""));
    }

    static LogRecord snapshot(long offset, long upTo, long version, String document) {
        return LogRecord.of(
                offset,
                offset,
                new LogEntry.ConfigurationSnapshot(upTo, version, document, List.of()));
    }
}
