package org.tamaracktrack.standins.engine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Decides which orders are executed, and records their outcomes. Not safe for use by several
 * threads.
 */
public final class OrderTracker {
    private static final int MAXIMUM_TRACKED_ORDERS = 1000;

    private final boolean checksFencing;
    private final Map<String, Outcome> outcomes =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Outcome> eldest) {
                    return size() > MAXIMUM_TRACKED_ORDERS;
                }
            };
    private long highestFencing = -1;

    private OrderTracker(boolean checksFencing) {
        this.checksFencing = checksFencing;
    }

    /** The outcomes of orders. */
    public enum Outcome {
        DONE("done"),
        REFUSED("refused"),
        IGNORED("ignored"),
        RUNNING("running");

        private final String text;

        Outcome(String text) {
            this.text = text;
        }
    }

    /** The decisions on a received order. */
    public enum Decision {
        CARRY_OUT,
        FENCED,
        /** The order was received after its lifetime. */
        EXPIRED,
        /** The order has been received before. */
        SEEN
    }

    /**
     * Returns a tracker without orders.
     *
     * @param checksFencing whether orders with an old fencing number are refused
     * @return the tracker
     */
    public static OrderTracker of(boolean checksFencing) {
        return new OrderTracker(checksFencing);
    }

    /**
     * Decides whether to execute a received order, and records the order.
     *
     * @param order the order
     * @param nowMillis the current time, in milliseconds since the epoch
     * @return the decision
     */
    public Decision decide(EngineOrder order, long nowMillis) {
        Objects.requireNonNull(order, "order is null");
        if (outcomes.containsKey(order.orderId())) {
            return Decision.SEEN;
        }
        if (checksFencing && order.fencing() < highestFencing) {
            outcomes.put(order.orderId(), Outcome.REFUSED);
            return Decision.FENCED;
        }
        highestFencing = Math.max(highestFencing, order.fencing());
        if (nowMillis > order.issuedAtMillis() + order.lifetimeMillis()) {
            outcomes.put(order.orderId(), Outcome.IGNORED);
            return Decision.EXPIRED;
        }
        outcomes.put(order.orderId(), Outcome.RUNNING);
        return Decision.CARRY_OUT;
    }

    /**
     * Records the outcome of an order.
     *
     * @param orderId the identifier of the order
     * @param outcome the outcome
     */
    public void recordOutcome(String orderId, Outcome outcome) {
        outcomes.put(orderId, outcome);
    }

    /**
     * Returns the highest fencing number received.
     *
     * @return the number, or -1
     */
    public long highestFencing() {
        return highestFencing;
    }

    /**
     * Returns the recent orders and their outcomes.
     *
     * @return the orders, oldest first
     */
    public List<Inventory.OrderState> recentOrders() {
        return outcomes.entrySet().stream()
                .map(entry -> new Inventory.OrderState(entry.getKey(), entry.getValue().text))
                .toList();
    }
}
