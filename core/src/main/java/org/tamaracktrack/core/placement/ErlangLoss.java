package org.tamaracktrack.core.placement;

/** Computes the share of requests that find all slots of a target busy, by the Erlang B formula. */
final class ErlangLoss {
    private ErlangLoss() {}

    /**
     * Returns the probability that an arriving request is rejected because all slots are busy.
     *
     * @param slots the number of requests that can run concurrently
     * @param offeredLoad the mean number of requests that would run concurrently if none were
     *     rejected
     * @return the probability, 0 to 1
     */
    static double blockingProbability(int slots, double offeredLoad) {
        if (offeredLoad <= 0) {
            return 0;
        }
        double probability = 1;
        for (int slot = 1; slot <= slots; slot++) {
            probability = offeredLoad * probability / (slot + offeredLoad * probability);
        }
        return probability;
    }
}
