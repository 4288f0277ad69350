package org.tamaracktrack.daemon.quarantine;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tamaracktrack.core.quarantine.Suspect;
import org.tamaracktrack.core.quarantine.SuspectTrial;
import org.tamaracktrack.link.codec.JsonFields;

/**
 * The stored record of a permit to send one request with a held suspect.
 *
 * @param trial the permit
 */
record TrialRecord(SuspectTrial trial) {
    private static final Pattern KEY =
            Pattern.compile("((?:part-)?[0-9a-f]{32})/trial-([0-9]{1,9})");
    private static final String AT = "at";

    TrialRecord {
        Objects.requireNonNull(trial, "trial is null");
    }

    String key() {
        return trial.suspect().key() + "/trial-" + trial.number();
    }

    /** Decodes a key, which does not include when the permit was granted. */
    static Optional<SuspectTrial> parseKey(String key) {
        Matcher parts = KEY.matcher(key);
        return parts.matches()
                ? Optional.of(
                        new SuspectTrial(
                                Suspect.parse(parts.group(1)), Integer.parseInt(parts.group(2)), 0))
                : Optional.empty();
    }

    byte[] value() {
        return JsonFields.write(Map.of(AT, trial.atMillis()));
    }

    // A permit whose time can't be read counts all the same.
    static Optional<TrialRecord> of(String key, byte[] value) {
        return parseKey(key)
                .map(
                        trial ->
                                new SuspectTrial(
                                        trial.suspect(),
                                        trial.number(),
                                        JsonFields.parse(value)
                                                .flatMap(fields -> JsonFields.integer(fields, AT))
                                                .orElse(System.currentTimeMillis())))
                .map(TrialRecord::new);
    }
}
