package org.tamaracktrack.standins.engine;

import java.util.List;

/**
 * The state of an engine, as its inventory reports it.
 *
 * @param highestFencing the highest fencing number received, or -1
 * @param role the role of the engine
 * @param accelerators the accelerators
 * @param models the models in memory
 * @param recentOrders the recent orders and their outcomes
 * @param load the load at an earlier time
 * @param overcommits the number of orders that overcommitted memory
 */
public record Inventory(
        long highestFencing,
        String role,
        List<AcceleratorState> accelerators,
        List<ModelState> models,
        List<OrderState> recentOrders,
        LoadState load,
        int overcommits) {

    /**
     * The state of an accelerator.
     *
     * @param name the name of the accelerator
     * @param memoryMebibytes the size of its memory
     * @param usedMebibytes the memory that weights occupy
     */
    public record AcceleratorState(String name, long memoryMebibytes, long usedMebibytes) {}

    /**
     * The state of a model in memory.
     *
     * @param model the name of the model
     * @param version its version
     * @param accelerator the accelerator that holds it
     * @param mebibytes the size of its weights, without those of adapters
     * @param state {@code loading}, {@code ready} or {@code unloading}
     * @param adapters the adapters in memory
     */
    public record ModelState(
            String model,
            String version,
            String accelerator,
            long mebibytes,
            String state,
            List<AdapterState> adapters) {}

    /**
     * The state of an adapter in memory.
     *
     * @param adapter the name of the adapter
     * @param version its version
     * @param mebibytes the size of its weights
     * @param state {@code loading}, {@code ready} or {@code unloading}
     */
    public record AdapterState(String adapter, String version, long mebibytes, String state) {}

    /**
     * The outcome of an order.
     *
     * @param orderId the identifier of the order
     * @param outcome {@code done}, {@code refused}, {@code ignored} or {@code running}
     */
    public record OrderState(String orderId, String outcome) {}

    /**
     * The load at one time.
     *
     * @param running the number of requests in the batch
     * @param queued the number of queued requests
     * @param asOfMillis the time of these numbers, in milliseconds since the epoch
     */
    public record LoadState(int running, int queued, long asOfMillis) {}
}
