package org.tamaracktrack.core.quarantine;

import java.util.Map;
import java.util.Objects;
import org.tamaracktrack.core.dispatch.LruMap;

/**
 * The parts of prompts that targets have recently answered, which therefore do not cause targets to
 * end. Not safe for use by several threads.
 */
public final class ProvenParts {
    /**
     * Software that is replaced may fail at a part that was harmless before, so a proof does not
     * hold for long.
     */
    private static final long RETENTION_MILLIS = 30_000;

    private static final int MAXIMUM_PARTS = 4_096;

    private final Map<PartFingerprint, Long> provenAtMillis = LruMap.of(MAXIMUM_PARTS);

    private ProvenParts() {}

    /**
     * Returns a record without parts.
     *
     * @return the record
     */
    public static ProvenParts empty() {
        return new ProvenParts();
    }

    /**
     * Records that a target has answered a prompt with a part.
     *
     * @param part the part
     * @param nowMillis the monotonic time in milliseconds
     */
    public void record(PartFingerprint part, long nowMillis) {
        Objects.requireNonNull(part, "part is null");
        provenAtMillis.put(part, nowMillis);
    }

    /**
     * Returns whether a target has answered a prompt with a part in the last 30 s.
     *
     * @param suspect the part; a request is never proven
     * @param nowMillis the monotonic time in milliseconds
     * @return true when it has
     */
    public boolean contains(Suspect suspect, long nowMillis) {
        Long atMillis = suspect instanceof PartFingerprint ? provenAtMillis.get(suspect) : null;
        return atMillis != null && nowMillis - atMillis <= RETENTION_MILLIS;
    }
}
