package org.tamaracktrack.core.admission;

import java.util.Map;
import java.util.Objects;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.ClientAccountId;

/**
 * The outstanding tokens that one daemon reports for a service.
 *
 * @param tokens the tokens by client account, each at least 1
 * @param otherAccounts the number of client accounts that are reported together
 * @param otherTokens the tokens of these client accounts together
 */
public record ServiceUsage(Map<ClientAccountId, Long> tokens, int otherAccounts, long otherTokens) {
    /** Limit of tokens in one figure, so that sums over all peers can't overflow. */
    public static final long MAX_TOKENS = 1_000_000_000_000L;

    /** Limit of the number of client accounts that are reported together. */
    public static final int MAX_OTHER_ACCOUNTS = 1_000_000;

    /**
     * Checks the arguments.
     *
     * @throws TamaracktrackException with {@code BAD_FRAME} if a figure is out of range
     */
    public ServiceUsage {
        Objects.requireNonNull(tokens, "tokens is null");
        tokens = Map.copyOf(tokens);
        boolean inRange =
                tokens.values().stream().allMatch(count -> count >= 1 && count <= MAX_TOKENS)
                        && otherAccounts >= 0
                        && otherAccounts <= MAX_OTHER_ACCOUNTS
                        && otherTokens >= otherAccounts
                        && otherTokens <= MAX_TOKENS;
        if (!inRange) {
            throw TamaracktrackException.of(
                    ErrorCode.BAD_FRAME, "figure of a usage report is out of range");
        }
    }

    /**
     * Returns the tokens of all client accounts.
     *
     * @return the sum
     */
    public long totalTokens() {
        return tokens.values().stream().mapToLong(Long::longValue).sum() + otherTokens;
    }

    /**
     * Returns the number of client accounts that have outstanding tokens.
     *
     * @return the number
     */
    public int accounts() {
        return tokens.size() + otherAccounts;
    }
}
