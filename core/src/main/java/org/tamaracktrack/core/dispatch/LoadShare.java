package org.tamaracktrack.core.dispatch;

/**
 * What some daemons have at a target: one daemon's part of its load, or the sum of several.
 *
 * @param outstanding requests that were sent and have not ended
 * @param unreadTokens prompt tokens of those that have no event yet
 */
public record LoadShare(int outstanding, int unreadTokens) {
    private static final LoadShare NONE = new LoadShare(0, 0);

    /** Checks the arguments. */
    public LoadShare {
        if (outstanding < 0 || unreadTokens < 0) {
            throw new IllegalArgumentException("a share is less than nothing");
        }
    }

    /**
     * Returns the share of a daemon that has nothing at a target.
     *
     * @return no requests
     */
    public static LoadShare empty() {
        return NONE;
    }

    /**
     * Returns the sum of two shares.
     *
     * @param other the other share
     * @return both together
     */
    public LoadShare plus(LoadShare other) {
        return new LoadShare(outstanding + other.outstanding, unreadTokens + other.unreadTokens);
    }

    /**
     * Returns whether there is nothing.
     *
     * @return true when there is no request
     */
    public boolean isEmpty() {
        return equals(NONE);
    }
}
