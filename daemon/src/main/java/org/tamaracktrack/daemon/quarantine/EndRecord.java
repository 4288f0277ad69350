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
import org.tamaracktrack.core.quarantine.Suspect;
import org.tamaracktrack.core.quarantine.TargetEnd;
import org.tamaracktrack.link.codec.JsonFields;

/**
 * The stored record of a target that ended while a suspect was there. Its key contains both, so
 * that concurrent writes by two daemons do not overwrite each other, and an end that is written
 * twice counts once.
 *
 * @param end the suspect and the target
 * @param atMillis the time of day of the end, in milliseconds since the epoch
 */
record EndRecord(TargetEnd end, long atMillis) {
    private static final Pattern KEY =
            Pattern.compile("((?:part-)?[0-9a-f]{32})/(.+)@(-?[0-9]{1,18})");
    private static final String RAN = "ran";
    private static final String AT = "at";

    EndRecord {
        Objects.requireNonNull(end, "end is null");
    }

    static String key(TargetEnd end) {
        return end.suspect().key() + "/" + end.target();
    }

    /** Decodes a key, which does not include whether the target ran the suspect. */
    static Optional<TargetEnd> parseKey(String key) {
        Matcher parts = KEY.matcher(key);
        if (!parts.matches()) {
            return Optional.empty();
        }
        try {
            TargetId target = TargetId.of(parts.group(2));
            long startedAtMillis = Long.parseLong(parts.group(3));
            return Optional.of(
                    new TargetEnd(
                            Suspect.parse(parts.group(1)),
                            new TargetIncarnation(target, startedAtMillis),
                            false));
        } catch (TamaracktrackException unreadable) {
            // The key has another format; the exchange logs it.
            return Optional.empty();
        }
    }

    byte[] value() {
        return JsonFields.write(Map.of(RAN, end.ran(), AT, atMillis));
    }

    static Optional<EndRecord> of(String key, byte[] value) {
        return parseKey(key)
                .flatMap(end -> JsonFields.parse(value).flatMap(fields -> of(end, fields)));
    }

    private static Optional<EndRecord> of(TargetEnd end, JsonNode fields) {
        return JsonFields.integer(fields, AT)
                .map(
                        at ->
                                new EndRecord(
                                        new TargetEnd(
                                                end.suspect(),
                                                end.target(),
                                                JsonFields.flag(fields, RAN)),
                                        at));
    }
}
