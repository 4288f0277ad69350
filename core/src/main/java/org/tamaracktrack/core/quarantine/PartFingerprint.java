package org.tamaracktrack.core.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;
import org.tamaracktrack.core.dispatch.PromptPart;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.ServiceId;

/**
 * Identifies a part that prompts of one service share. The targets of another service run other
 * software, which the part may not harm. Callers choose the ids of parts, so only a digest of fixed
 * length is kept.
 *
 * @param value 32 hexadecimal digits
 */
public record PartFingerprint(String value) implements Suspect {
    private static final HoldPolicy HOLD_POLICY = PartHoldPolicy.of();

    /** Limits the work that one request can cause. */
    private static final int MAXIMUM_PARTS = 64;

    /**
     * Checks the text.
     *
     * @throws TamaracktrackException with {@code BAD_IDENTIFIER} when the text is not a fingerprint
     */
    public PartFingerprint {
        Objects.requireNonNull(value, "value is null");
        Fingerprints.check(value);
    }

    /**
     * Returns the fingerprint of a part.
     *
     * @param service the service that reads the prompt
     * @param part the part
     * @return the fingerprint
     */
    public static PartFingerprint of(ServiceId service, PromptPart part) {
        return new PartFingerprint(
                Fingerprints.of(
                        service.value().getBytes(StandardCharsets.UTF_8),
                        part.contentId().getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Returns the fingerprints of the first 64 parts.
     *
     * @param service the service that reads the prompt
     * @param parts the parts that other requests may share
     * @return the fingerprints, without duplicates
     */
    public static List<PartFingerprint> ofAll(ServiceId service, List<PromptPart> parts) {
        return parts.stream()
                .limit(MAXIMUM_PARTS)
                .map(part -> of(service, part))
                .distinct()
                .collect(Collectors.toUnmodifiableList());
    }

    @Override
    public String key() {
        return Keys.PART_PREFIX + value;
    }

    @Override
    public HoldPolicy holdPolicy() {
        return HOLD_POLICY;
    }

    @Override
    public String toString() {
        return key();
    }
}
