package org.tamaracktrack.standins.engine;

/**
 * Faults in the delivery of orders: loss, delay and duplication. Not safe for use by several
 * threads.
 */
final class OrderFaults {
    private int ordersToLose;
    private int ordersToDuplicate;
    private long delayMillis;

    /**
     * Sets the faults.
     *
     * @param ordersToLose the number of next orders to lose
     * @param delayMillis the delay of orders in milliseconds
     * @param ordersToDuplicate the number of next orders to deliver twice
     */
    void set(int ordersToLose, long delayMillis, int ordersToDuplicate) {
        this.ordersToLose = ordersToLose;
        this.delayMillis = delayMillis;
        this.ordersToDuplicate = ordersToDuplicate;
    }

    /**
     * Returns the number of deliveries of the next order.
     *
     * @return 0, 1 or 2
     */
    int nextDeliveryCount() {
        if (ordersToLose > 0) {
            ordersToLose--;
            return 0;
        }
        if (ordersToDuplicate > 0) {
            ordersToDuplicate--;
            return 2;
        }
        return 1;
    }

    long delayMillis() {
        return delayMillis;
    }
}
