package org.tamaracktrack.core.target;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;

/**
 * A change to the models or adapters in the memory of an accelerator.
 *
 * @param kind the kind of order that makes the change
 * @param accelerator the accelerator
 * @param model the model, or the adapter's base model
 * @param adapter the adapter; empty unless an adapter is loaded or unloaded
 * @param version the version of the model or adapter
 * @param mebibytes the memory it takes in MiB
 * @param cause the cause, as it appears in counter names
 */
public record ResidencyChange(
        OrderKind kind,
        AcceleratorId accelerator,
        ModelId model,
        Optional<AdapterId> adapter,
        String version,
        long mebibytes,
        String cause) {

    /** Checks the arguments. */
    public ResidencyChange {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(accelerator, "accelerator is null");
        Objects.requireNonNull(model, "model is null");
        Objects.requireNonNull(adapter, "adapter is null");
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(cause, "cause is null");
    }
}
