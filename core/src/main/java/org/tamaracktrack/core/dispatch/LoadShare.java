package org.tamaracktrack.core.dispatch;

/**
 * The load that one daemon, or several together, caused at a target.
 *
 * @param outstanding requests that were sent and have not ended
 * @param pendingPromptTokens prompt tokens of those requests whose answer has not started
 */
public record LoadShare(int outstanding, int pendingPromptTokens) {
    private static final LoadShare NONE = new LoadShare(0, 0);

    /** Checks the arguments. */
    public LoadShare {
        if (outstanding < 0 || pendingPromptTokens < 0) {
            throw new IllegalArgumentException("outstanding or pendingPromptTokens is negative");
        }
    }

    /**
     * Returns the share of a daemon without outstanding requests.
     *
     * @return the empty share
     */
    public static LoadShare empty() {
        return NONE;
    }

    /**
     * Returns the sum of two shares.
     *
     * @param other the other share
     * @return the sum
     */
    public LoadShare plus(LoadShare other) {
        return new LoadShare(
                outstanding + other.outstanding, pendingPromptTokens + other.pendingPromptTokens);
    }

    /**
     * Returns whether there are no outstanding requests and no pending prompt tokens.
     *
     * @return true when both counts are 0
     */
    public boolean isEmpty() {
        return equals(NONE);
    }
}
