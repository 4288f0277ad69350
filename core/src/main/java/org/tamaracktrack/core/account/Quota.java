package org.tamaracktrack.core.account;

import java.util.Objects;
import java.util.OptionalLong;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/**
 * The limit on what the callers of a client account may use, over all daemons together.
 *
 * @param unit what is counted
 * @param ratePerSecond the units that become available per second, above 0
 * @param burst the units that may be used at once after a pause, 0 or more
 * @param defaultTokens the tokens of a request that states none; counted by {@code TOKENS} only
 */
public record Quota(QuotaUnit unit, double ratePerSecond, double burst, long defaultTokens) {

    /**
     * Checks the arguments.
     *
     * @throws TamaracktrackException with {@code INVALID_CONFIGURATION} when a number is out of
     *     range
     */
    public Quota {
        Objects.requireNonNull(unit, "unit is null");
        if (!(ratePerSecond > 0)
                || !(burst >= 0)
                || Double.isInfinite(ratePerSecond)
                || Double.isInfinite(burst)
                || defaultTokens < 0) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_CONFIGURATION,
                    "invalid quota: rate "
                            + ratePerSecond
                            + ", burst "
                            + burst
                            + ", default tokens "
                            + defaultTokens);
        }
    }

    /**
     * Returns what a request counts.
     *
     * @param statedTokens the tokens that the request states
     * @return the number of units, at least 1
     */
    public long cost(OptionalLong statedTokens) {
        return unit == QuotaUnit.REQUESTS ? 1 : Math.max(1, statedTokens.orElse(defaultTokens));
    }
}
