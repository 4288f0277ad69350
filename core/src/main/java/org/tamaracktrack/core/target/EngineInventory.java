package org.tamaracktrack.core.target;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Optional;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.OrderId;

/**
 * What an engine says of itself at one moment.
 *
 * @param highestFencing the highest fencing number it has seen
 * @param role its role
 * @param accelerators its accelerators
 * @param models the models in their memory
 * @param recentOrders the orders that it has seen of late
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

    /** How far something in memory is. */
    public enum Residence {
        @JsonProperty("loading")
        LOADING,
        @JsonProperty("ready")
        READY,
        @JsonProperty("unloading")
        UNLOADING
    }

    /** What became of an order. */
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
     * @param memoryMebibytes its memory
     * @param usedMebibytes how much of it is in use
     */
    public record AcceleratorState(AcceleratorId name, long memoryMebibytes, long usedMebibytes) {}

    /**
     * A model in memory.
     *
     * @param model the model
     * @param version its version
     * @param accelerator where
     * @param mebibytes its memory
     * @param state how far it is
     * @param adapters the adapters on it
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
         * Returns the memory of the model and its adapters.
         *
         * @return the sum
         */
        public long totalMebibytes() {
            return mebibytes + adapters.stream().mapToLong(AdapterState::mebibytes).sum();
        }

        /**
         * Returns whether it can serve.
         *
         * @return true when it is ready
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
     * @param mebibytes its memory
     * @param state how far it is
     */
    public record AdapterState(
            AdapterId adapter, String version, long mebibytes, Residence state) {}

    /**
     * An order that the engine has seen.
     *
     * @param orderId its identifier
     * @param outcome what became of it
     */
    public record OrderState(OrderId orderId, Outcome outcome) {}

    /**
     * Returns what became of an order.
     *
     * @param order the order
     * @return its outcome; empty when the engine has not seen it, or no longer lists it
     */
    public Optional<Outcome> outcomeOf(OrderId order) {
        return recentOrders.stream()
                .filter(state -> state.orderId().equals(order))
                .map(OrderState::outcome)
                .findFirst();
    }

    /**
     * Returns the copies of a model, whatever their version and state.
     *
     * @param model the model
     * @return its copies
     */
    public List<ModelState> copiesOf(ModelId model) {
        return models.stream().filter(state -> state.model().equals(model)).toList();
    }

    /**
     * Returns the memory of an accelerator that models and adapters take, as the sum of what is
     * listed.
     *
     * @param accelerator the accelerator
     * @return the sum
     */
    public long weightsMebibytes(AcceleratorId accelerator) {
        return models.stream()
                .filter(state -> state.accelerator().equals(accelerator))
                .mapToLong(ModelState::totalMebibytes)
                .sum();
    }
}
