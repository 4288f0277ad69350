package org.tamaracktrack.core.admission;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.RequestClassId;

/**
 * A request submitted to the admission control of a target.
 *
 * @param attempt the attempt of the request
 * @param account the client account that sent it
 * @param requestClass the class whose objectives apply
 * @param estimatedTokens the estimated cost in tokens, at least 1
 * @param arrivedAtMillis the monotonic time at which it arrived
 * @param firstTokenByMillis the monotonic time by which its first token is due
 * @param need the model and adapter that must be in memory; empty for a call to a plain service
 */
public record AdmissionRequest(
        AttemptId attempt,
        ClientAccountId account,
        RequestClassId requestClass,
        int estimatedTokens,
        long arrivedAtMillis,
        long firstTokenByMillis,
        Optional<Need> need) {

    /** Checks the arguments, and raises an estimate below 1 to 1. */
    public AdmissionRequest {
        Objects.requireNonNull(attempt, "attempt is null");
        Objects.requireNonNull(account, "account is null");
        Objects.requireNonNull(requestClass, "requestClass is null");
        Objects.requireNonNull(need, "need is null");
        estimatedTokens = Math.max(1, estimatedTokens);
    }
}
