package org.tamaracktrack.core.stream;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;
import org.tamaracktrack.core.dispatch.LruMap;

/**
 * The origins of recent streams, by the attempt that brought the first event. Of bounded size.
 * Confined to the traffic thread.
 */
final class OriginRegister {
    /** A record takes about 250 bytes. */
    private static final int MAX_RECORDS = 20_000;

    private static final int MAX_ATTEMPT_LENGTH = 128;

    private final Map<String, Record> records = LruMap.of(MAX_RECORDS);

    /**
     * A recorded origin.
     *
     * @param attempt the attempt that brought the first event
     * @param origin the origin of its stream
     * @param own whether this daemon forwarded events of the stream
     * @param atMillis when it was recorded
     */
    record Record(String attempt, StreamOrigin origin, boolean own, long atMillis) {}

    private OriginRegister() {}

    static OriginRegister empty() {
        return new OriginRegister();
    }

    /** Records an origin; the first record of an attempt is kept. */
    void add(String attempt, StreamOrigin origin, boolean own, long nowMillis) {
        Objects.requireNonNull(origin, "origin is null");
        if (attempt.length() > MAX_ATTEMPT_LENGTH) {
            return;
        }
        Record known = records.get(attempt);
        if (known == null) {
            records.put(attempt, new Record(attempt, origin, own, nowMillis));
        } else if (own && !known.own()) {
            records.put(attempt, new Record(attempt, known.origin(), true, known.atMillis()));
        }
    }

    Optional<Record> find(String attempt) {
        return Optional.ofNullable(records.get(attempt));
    }

    /** Returns the streams of which this daemon forwarded events, as far as they are recent. */
    Stream<Record> own() {
        return records.values().stream().filter(Record::own);
    }

    /** Removes records that are older than the retention time. */
    void expire(long retentionMillis, long nowMillis) {
        records.values().removeIf(record -> nowMillis - record.atMillis() > retentionMillis);
    }
}
