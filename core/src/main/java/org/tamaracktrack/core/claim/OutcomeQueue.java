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
 * The outcomes of claims on their way to the log. They are appended until it is known that they
 * were written; a second record of an outcome changes nothing.
 */
final class OutcomeQueue {
    private static final int MOST_IN_A_RECORD = 500;

    private final IncarnationId owner;
    private final long gapMillis;
    private final Map<Long, Ran> queued = new LinkedHashMap<>();
    private Map<Long, Ran> appending = Map.of();
    private long lastMillis = Long.MIN_VALUE / 2;

    private OutcomeQueue(IncarnationId owner, long gapMillis) {
        this.owner = owner;
        this.gapMillis = gapMillis;
    }

    static OutcomeQueue of(IncarnationId owner, long gapMillis) {
        return new OutcomeQueue(owner, gapMillis);
    }

    void add(long claim, Ran ran) {
        queued.putIfAbsent(claim, ran);
    }

    boolean isEmpty() {
        return queued.isEmpty() && appending.isEmpty();
    }

    Optional<ClaimAction> next(long nowMillis) {
        if (queued.isEmpty() || !appending.isEmpty() || nowMillis - lastMillis < gapMillis) {
            return Optional.empty();
        }
        lastMillis = nowMillis;
        appending =
                queued.entrySet().stream()
                        .limit(MOST_IN_A_RECORD)
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
                        ClaimAction.Slot.OUTCOMES, new LogEntry.ClaimsSettled(owner, settled)));
    }

    Optional<ClaimAction> appended(ClaimKeeper.AppendOutcome outcome, long nowMillis) {
        if (outcome != ClaimKeeper.AppendOutcome.WRITTEN) {
            appending.forEach(queued::putIfAbsent);
        }
        appending = Map.of();
        return next(nowMillis);
    }
}
