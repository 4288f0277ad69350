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
     * Software that is replaced may fail at a part that was harmless before, so an answer excuses
     * the part only for ends of targets shortly after it.
     */
    private static final long EXCUSE_MILLIS = 5_000;

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
     * Returns whether a target has answered a prompt with a part so recently that the part is not
     * suspected of the end of a target now.
     *
     * @param suspect the part; a request is never excused
     * @param nowMillis the monotonic time in milliseconds
     * @return true when one has, in the last 5 s
     */
    public boolean excuses(Suspect suspect, long nowMillis) {
        return isAnsweredWithin(suspect, EXCUSE_MILLIS, nowMillis);
    }

    /**
     * Returns whether a target has recently answered a prompt with a part.
     *
     * @param part the part
     * @param nowMillis the monotonic time in milliseconds
     * @return true when one has, in the last 30 s
     */
    public boolean contains(PartFingerprint part, long nowMillis) {
        return isAnsweredWithin(part, RETENTION_MILLIS, nowMillis);
    }

    private boolean isAnsweredWithin(Suspect suspect, long millis, long nowMillis) {
        Long atMillis = suspect instanceof PartFingerprint ? provenAtMillis.get(suspect) : null;
        return atMillis != null && nowMillis - atMillis <= millis;
    }
}
