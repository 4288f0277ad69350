package org.tamaracktrack.standins.engine;

/** What happens to the next orders on their way. Not safe for use by several threads. */
final class OrderFaults {
    private int lose;
    private int twice;
    private long delayMillis;

    /**
     * Sets what happens.
     *
     * @param lose how many of the next orders get lost
     * @param delayMillis how late orders come
     * @param twice how many of the next orders come twice
     */
    void set(int lose, long delayMillis, int twice) {
        this.lose = lose;
        this.delayMillis = delayMillis;
        this.twice = twice;
    }

    /**
     * Returns how often the next order comes.
     *
     * @return 0, 1 or 2
     */
    int arrivals() {
        if (lose > 0) {
            lose--;
            return 0;
        }
        if (twice > 0) {
            twice--;
            return 2;
        }
        return 1;
    }

    long delayMillis() {
        return delayMillis;
    }
}
