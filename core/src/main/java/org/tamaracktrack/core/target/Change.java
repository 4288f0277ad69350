package org.tamaracktrack.core.target;

import java.util.Objects;
import java.util.Optional;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;

/**
 * A change of what is in memory, wanted but not yet ordered.
 *
 * @param kind what to do
 * @param accelerator where
 * @param model the model, or the adapter's base model
 * @param adapter the adapter, for the two kinds that concern one
 * @param version the version of the model or adapter
 * @param mebibytes its memory
 * @param cause why, as counter names have it
 */
public record Change(
        OrderKind kind,
        AcceleratorId accelerator,
        ModelId model,
        Optional<AdapterId> adapter,
        String version,
        long mebibytes,
        String cause) {

    /** Checks the arguments. */
    public Change {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(accelerator, "accelerator is null");
        Objects.requireNonNull(model, "model is null");
        Objects.requireNonNull(adapter, "adapter is null");
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(cause, "cause is null");
    }
}
