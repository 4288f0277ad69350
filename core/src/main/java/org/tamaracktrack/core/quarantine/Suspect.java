package org.tamaracktrack.core.quarantine;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/** What may cause targets to end: a request that is repeated, or a part that prompts share. */
public sealed interface Suspect permits RequestFingerprint, PartFingerprint {

    /**
     * Returns the text that identifies the suspect in records and logs.
     *
     * @return 32 hexadecimal digits, for a part after {@code part-}
     */
    String key();

    /**
     * Returns the rule by which the suspect is held.
     *
     * @return the rule
     */
    HoldPolicy holdPolicy();

    /**
     * Parses the text that identifies a suspect.
     *
     * @param key the text
     * @return the suspect
     * @throws TamaracktrackException with {@code BAD_IDENTIFIER} when the text identifies none
     */
    static Suspect parse(String key) {
        Matcher matcher = Keys.PATTERN.matcher(key);
        if (!matcher.matches()) {
            throw TamaracktrackException.of(
                    ErrorCode.BAD_IDENTIFIER, "neither a fingerprint nor a part: " + key);
        }
        String digits = matcher.group(2);
        return Optional.ofNullable(matcher.group(1))
                .<Suspect>map(prefix -> new PartFingerprint(digits))
                .orElseGet(() -> new RequestFingerprint(digits));
    }

    /** The format of keys. */
    final class Keys {
        static final String PART_PREFIX = "part-";
        private static final Pattern PATTERN =
                Pattern.compile("(" + PART_PREFIX + ")?([0-9a-f]{32})");

        private Keys() {}
    }
}
