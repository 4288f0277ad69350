package org.tamaracktrack.core.placement;

/** The share of requests that find all slots of a target busy, by Erlang's loss formula. */
final class ErlangLoss {
    private ErlangLoss() {}

    /**
     * Returns the share.
     *
     * @param slots how many requests run at once
     * @param offered how many would run at once if none were turned away
     * @return the share that is turned away, 0 to 1
     */
    static double of(int slots, double offered) {
        if (offered <= 0) {
            return 0;
        }
        double share = 1;
        for (int slot = 1; slot <= slots; slot++) {
            share = offered * share / (slot + offered * share);
        }
        return share;
    }
}
