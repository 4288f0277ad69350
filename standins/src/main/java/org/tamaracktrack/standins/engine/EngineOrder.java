package org.tamaracktrack.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * An order.
 *
 * @param orderId its identifier
 * @param fencing the fencing number of whoever gives it
 * @param kind what to do
 * @param accelerator where
 * @param model the model
 * @param adapter the adapter, or null
 * @param version the version
 * @param mebibytes the memory it takes
 * @param issuedAtMillis when it was given
 * @param lifetimeMillis how long after that it may be carried out
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

    /** What an order asks for. */
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

    boolean complete() {
        return orderId != null
                && kind != null
                && (kind != Kind.SET_ROLE || role != null)
                && (kind == Kind.SET_ROLE || model != null)
                && (kind != Kind.LOAD_MODEL || (accelerator != null && version != null))
                && (kind != Kind.LOAD_ADAPTER || (adapter != null && version != null))
                && (kind != Kind.UNLOAD_ADAPTER || adapter != null);
    }
}
