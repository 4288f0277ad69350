package org.tamaracktrack.standins.engine;

import java.util.List;

/**
 * What an engine tells of itself.
 *
 * @param highestFencing the highest fencing number seen, or -1
 * @param role its role
 * @param accelerators its accelerators
 * @param models what is in their memory
 * @param recentOrders what became of the last orders
 * @param load its load, which lags
 * @param overcommits how many orders overcommitted memory
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
     * An accelerator.
     *
     * @param name its name
     * @param memoryMebibytes its memory
     * @param usedMebibytes the memory that weights take
     */
    public record AcceleratorState(String name, long memoryMebibytes, long usedMebibytes) {}

    /**
     * A model.
     *
     * @param model its name
     * @param version its version
     * @param accelerator where it is
     * @param mebibytes the memory of its own weights
     * @param state {@code loading}, {@code ready} or {@code unloading}
     * @param adapters its adapters
     */
    public record ModelState(
            String model,
            String version,
            String accelerator,
            long mebibytes,
            String state,
            List<AdapterState> adapters) {}

    /**
     * An adapter.
     *
     * @param adapter its name
     * @param version its version
     * @param mebibytes its memory
     * @param state {@code loading}, {@code ready} or {@code unloading}
     */
    public record AdapterState(String adapter, String version, long mebibytes, String state) {}

    /**
     * An order.
     *
     * @param orderId its identifier
     * @param outcome {@code done}, {@code refused}, {@code ignored} or {@code running}
     */
    public record OrderState(String orderId, String outcome) {}

    /**
     * The load at one moment.
     *
     * @param running requests in the batch
     * @param queued requests that wait
     * @param asOfMillis when that was
     */
    public record LoadState(int running, int queued, long asOfMillis) {}
}
