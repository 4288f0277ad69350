package org.tamaracktrack.core.claim;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.tamaracktrack.core.error.Ran;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.log.LogEntry;

/**
 * The outcomes of claims that are to be written to the log. They are appended again until the
 * append is known to have succeeded; a second record of the same outcome has no effect.
 */
final class OutcomeQueue {
    private static final int MAXIMUM_OUTCOMES_PER_RECORD = 500;

    private final IncarnationId owner;
    private final long intervalMillis;
    private final Map<Long, Ran> queued = new LinkedHashMap<>();
    private Map<Long, Ran> appending = Map.of();
    private long lastAppendMillis = Long.MIN_VALUE / 2;

    private OutcomeQueue(IncarnationId owner, long intervalMillis) {
        this.owner = owner;
        this.intervalMillis = intervalMillis;
    }

    static OutcomeQueue of(IncarnationId owner, long intervalMillis) {
        return new OutcomeQueue(owner, intervalMillis);
    }

    void add(long claim, Ran ran) {
        queued.putIfAbsent(claim, ran);
    }

    boolean isEmpty() {
        return queued.isEmpty() && appending.isEmpty();
    }

    Optional<ClaimAction> nextAppend(long nowMillis) {
        if (queued.isEmpty()
                || !appending.isEmpty()
                || nowMillis - lastAppendMillis < intervalMillis) {
            return Optional.empty();
        }
        lastAppendMillis = nowMillis;
        appending =
                queued.entrySet().stream()
                        .limit(MAXIMUM_OUTCOMES_PER_RECORD)
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey,
                                        Map.Entry::getValue,
                                        (first, second) -> first,
                                        LinkedHashMap::new));
        queued.keySet().removeAll(appending.keySet());
        List<LogEntry.ClaimOutcome> settled =
                appending.entrySet().stream()
                        .map(entry -> new LogEntry.ClaimOutcome(entry.getKey(), entry.getValue()))
                        .collect(Collectors.toList());
        return Optional.of(
                new ClaimAction.Append(
                        ClaimAction.AppendKind.OUTCOMES,
                        new LogEntry.ClaimsSettled(owner, settled)));
    }

    Optional<ClaimAction> appended(ClaimManager.AppendOutcome outcome, long nowMillis) {
        if (outcome != ClaimManager.AppendOutcome.WRITTEN) {
            appending.forEach(queued::putIfAbsent);
        }
        appending = Map.of();
        return nextAppend(nowMillis);
    }
}
