package org.tamaracktrack.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * An order to the engine.
 *
 * @param orderId the identifier of the order
 * @param fencing the fencing number of the sender
 * @param kind the kind of order
 * @param accelerator the accelerator to load to, or null
 * @param model the model
 * @param adapter the adapter, or null
 * @param version the version of the model or adapter, or null
 * @param mebibytes the size of the weights
 * @param issuedAtMillis the time at which it was issued, in milliseconds since the epoch
 * @param lifetimeMillis the time after that during which it may be executed, in milliseconds
 * @param role the new role, or null
 */
public record EngineOrder(
        String orderId,
        long fencing,
        Kind kind,
        String accelerator,
        String model,
        String adapter,
        String version,
        long mebibytes,
        long issuedAtMillis,
        long lifetimeMillis,
        String role) {

    /** The kinds of orders. */
    public enum Kind {
        @JsonProperty("load_model")
        LOAD_MODEL,
        @JsonProperty("unload_model")
        UNLOAD_MODEL,
        @JsonProperty("load_adapter")
        LOAD_ADAPTER,
        @JsonProperty("unload_adapter")
        UNLOAD_ADAPTER,
        @JsonProperty("set_role")
        SET_ROLE
    }

    boolean hasRequiredFields() {
        return orderId != null
                && kind != null
                && (kind != Kind.SET_ROLE || role != null)
                && (kind == Kind.SET_ROLE || model != null)
                && (kind != Kind.LOAD_MODEL || (accelerator != null && version != null))
                && (kind != Kind.LOAD_ADAPTER || (adapter != null && version != null))
                && (kind != Kind.UNLOAD_ADAPTER || adapter != null);
    }
}
