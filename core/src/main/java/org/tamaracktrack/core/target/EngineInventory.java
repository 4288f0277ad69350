package org.tamaracktrack.core.target;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Optional;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.OrderId;

/**
 * The state of an engine as reported by the engine at one point in time.
 *
 * @param highestFencing the highest fencing number that the engine has received
 * @param role its role
 * @param accelerators its accelerators
 * @param models the models in the memory of the accelerators
 * @param recentOrders the orders that the engine has received recently
 */
public record EngineInventory(
        long highestFencing,
        String role,
        List<AcceleratorState> accelerators,
        List<ModelState> models,
        List<OrderState> recentOrders) {

    /** Copies the lists. */
    public EngineInventory {
        accelerators = accelerators == null ? List.of() : List.copyOf(accelerators);
        models = models == null ? List.of() : List.copyOf(models);
        recentOrders = recentOrders == null ? List.of() : List.copyOf(recentOrders);
    }

    /** The state of a model or adapter in memory. */
    public enum Residence {
        @JsonProperty("loading")
        LOADING,
        @JsonProperty("ready")
        READY,
        @JsonProperty("unloading")
        UNLOADING
    }

    /** The outcome of an order. */
    public enum Outcome {
        @JsonProperty("done")
        DONE,
        @JsonProperty("refused")
        REFUSED,
        @JsonProperty("ignored")
        IGNORED,
        @JsonProperty("running")
        RUNNING
    }

    /**
     * An accelerator.
     *
     * @param name its name
     * @param memoryMebibytes its memory in MiB
     * @param usedMebibytes the memory in use in MiB
     */
    public record AcceleratorState(AcceleratorId name, long memoryMebibytes, long usedMebibytes) {}

    /**
     * A model in memory.
     *
     * @param model the model
     * @param version its version
     * @param accelerator the accelerator that holds it
     * @param mebibytes the memory it takes in MiB
     * @param state its state
     * @param adapters the adapters loaded on it
     */
    public record ModelState(
            ModelId model,
            String version,
            AcceleratorId accelerator,
            long mebibytes,
            Residence state,
            List<AdapterState> adapters) {

        /** Copies the list. */
        public ModelState {
            adapters = adapters == null ? List.of() : List.copyOf(adapters);
        }

        /**
         * Returns the memory that the model and its adapters take.
         *
         * @return the sum in MiB
         */
        public long totalMebibytes() {
            return mebibytes + adapters.stream().mapToLong(AdapterState::mebibytes).sum();
        }

        /**
         * Returns whether the model can serve requests.
         *
         * @return true if it is ready
         */
        public boolean isReady() {
            return state == Residence.READY;
        }
    }

    /**
     * An adapter in memory.
     *
     * @param adapter the adapter
     * @param version its version
     * @param mebibytes the memory it takes in MiB
     * @param state its state
     */
    public record AdapterState(
            AdapterId adapter, String version, long mebibytes, Residence state) {}

    /**
     * An order that the engine has received.
     *
     * @param orderId its identifier
     * @param outcome its outcome
     */
    public record OrderState(OrderId orderId, Outcome outcome) {}

    /**
     * Returns the outcome of an order.
     *
     * @param order the order
     * @return the outcome; empty if the engine has not received the order or no longer lists it
     */
    public Optional<Outcome> outcomeOf(OrderId order) {
        return recentOrders.stream()
                .filter(state -> state.orderId().equals(order))
                .map(OrderState::outcome)
                .findFirst();
    }

    /**
     * Returns the copies of a model in any version and state.
     *
     * @param model the model
     * @return its copies
     */
    public List<ModelState> copiesOf(ModelId model) {
        return models.stream().filter(state -> state.model().equals(model)).toList();
    }

    /**
     * Returns the memory of an accelerator that the listed models and adapters take.
     *
     * @param accelerator the accelerator
     * @return the sum in MiB
     */
    public long weightsMebibytes(AcceleratorId accelerator) {
        return models.stream()
                .filter(state -> state.accelerator().equals(accelerator))
                .mapToLong(ModelState::totalMebibytes)
                .sum();
    }
}
