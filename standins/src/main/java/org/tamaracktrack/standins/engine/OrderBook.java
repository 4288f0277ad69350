package org.tamaracktrack.standins.engine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** Which orders are carried out, and what became of them. Not safe for use by several threads. */
public final class OrderBook {
    private static final int REMEMBERED = 1000;

    private final boolean checksFencing;
    private final Map<String, Outcome> outcomes =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Outcome> eldest) {
                    return size() > REMEMBERED;
                }
            };
    private long highestFencing = -1;

    private OrderBook(boolean checksFencing) {
        this.checksFencing = checksFencing;
    }

    /** What became of an order. */
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

    /** What to do with an order that has come. */
    public enum Verdict {
        CARRY_OUT,
        FENCED,
        /** It came too late. */
        EXPIRED,
        /** It came before. */
        SEEN
    }

    /**
     * Returns a book without orders.
     *
     * @param checksFencing whether orders with an old fencing number are refused
     * @return the book
     */
    public static OrderBook of(boolean checksFencing) {
        return new OrderBook(checksFencing);
    }

    /**
     * Decides on an order that has come, and remembers it.
     *
     * @param order the order
     * @param nowMillis the time
     * @return what to do with it
     */
    public Verdict decide(EngineOrder order, long nowMillis) {
        Objects.requireNonNull(order, "order is null");
        if (outcomes.containsKey(order.orderId())) {
            return Verdict.SEEN;
        }
        if (checksFencing && order.fencing() < highestFencing) {
            outcomes.put(order.orderId(), Outcome.REFUSED);
            return Verdict.FENCED;
        }
        highestFencing = Math.max(highestFencing, order.fencing());
        if (nowMillis > order.issuedAtMillis() + order.lifetimeMillis()) {
            outcomes.put(order.orderId(), Outcome.IGNORED);
            return Verdict.EXPIRED;
        }
        outcomes.put(order.orderId(), Outcome.RUNNING);
        return Verdict.CARRY_OUT;
    }

    /**
     * Remembers what became of an order.
     *
     * @param orderId the order
     * @param outcome what became of it
     */
    public void settle(String orderId, Outcome outcome) {
        outcomes.put(orderId, outcome);
    }

    /**
     * Returns the highest fencing number seen.
     *
     * @return the number, or -1
     */
    public long highestFencing() {
        return highestFencing;
    }

    /**
     * Returns what became of the last orders.
     *
     * @return the orders, oldest first
     */
    public List<Inventory.OrderState> recent() {
        return outcomes.entrySet().stream()
                .map(entry -> new Inventory.OrderState(entry.getKey(), entry.getValue().text))
                .toList();
    }
}
