package org.tamaracktrack.core.admission;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.RequestClassId;

/**
 * A request that asks to run on the target.
 *
 * @param attempt which attempt it is
 * @param account who asks
 * @param requestClass the class whose objectives hold
 * @param estimatedTokens its estimated cost, 1 or more
 * @param arrivedAtMillis when it arrived
 * @param firstTokenByMillis when its first token is due at the latest
 * @param need what must be in memory; empty for a call to a plain service
 */
public record Work(
        AttemptId attempt,
        ClientAccountId account,
        RequestClassId requestClass,
        int estimatedTokens,
        long arrivedAtMillis,
        long firstTokenByMillis,
        Optional<Need> need) {

    /** Checks the arguments; an estimate below 1 counts as 1. */
    public Work {
        Objects.requireNonNull(attempt, "attempt is null");
        Objects.requireNonNull(account, "account is null");
        Objects.requireNonNull(requestClass, "requestClass is null");
        Objects.requireNonNull(need, "need is null");
        estimatedTokens = Math.max(1, estimatedTokens);
    }
}
