package org.tamaracktrack.daemon.quarantine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.quarantine.RequestFingerprint;
import org.tamaracktrack.core.quarantine.TargetEnd;
import org.tamaracktrack.link.codec.JsonFields;

/**
 * The record of a target that ended under a request. Its key names both, so that two daemons that
 * write at once lose nothing of each other, and one end told twice counts once.
 *
 * @param end the request and the target
 * @param atMillis when, by the time of day
 */
record EndRecord(TargetEnd end, long atMillis) {
    private static final Pattern KEY = Pattern.compile("([0-9a-f]{32})/(.+)@(-?[0-9]{1,18})");
    private static final String RAN = "ran";
    private static final String AT = "at";

    EndRecord {
        Objects.requireNonNull(end, "end is null");
    }

    static String key(TargetEnd end) {
        return end.request() + "/" + end.target();
    }

    /** Decodes a key; whether the target ran the request is not known from it. */
    static Optional<TargetEnd> end(String key) {
        Matcher parts = KEY.matcher(key);
        if (!parts.matches()) {
            return Optional.empty();
        }
        try {
            TargetId target = TargetId.of(parts.group(2));
            long startedAtMillis = Long.parseLong(parts.group(3));
            return Optional.of(
                    new TargetEnd(
                            new RequestFingerprint(parts.group(1)),
                            new TargetIncarnation(target, startedAtMillis),
                            false));
        } catch (TamaracktrackException unreadable) {
            // Another writer's key; the exchange logs it.
            return Optional.empty();
        }
    }

    byte[] value() {
        return JsonFields.write(Map.of(RAN, end.ran(), AT, atMillis));
    }

    static Optional<EndRecord> of(String key, byte[] value) {
        return end(key).flatMap(end -> JsonFields.parse(value).flatMap(fields -> of(end, fields)));
    }

    private static Optional<EndRecord> of(TargetEnd end, JsonNode fields) {
        return JsonFields.integer(fields, AT)
                .map(
                        at ->
                                new EndRecord(
                                        new TargetEnd(
                                                end.request(),
                                                end.target(),
                                                JsonFields.flag(fields, RAN)),
                                        at));
    }
}
