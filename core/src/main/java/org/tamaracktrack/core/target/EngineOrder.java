package org.tamaracktrack.core.target;

import java.util.Optional;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.OrderId;

/**
 * An order as the engine reads it.
 *
 * @param orderId its identifier; the engine carries out an identifier once
 * @param fencing the owner's fencing number
 * @param kind what to do
 * @param accelerator where
 * @param model the model, or the adapter's base model
 * @param adapter the adapter
 * @param version the version of the model or adapter
 * @param mebibytes its memory
 * @param issuedAtMillis when it was issued, by the host's clock
 * @param lifetimeMillis the engine ignores it when this has passed since
 * @param role the role, for {@link OrderKind#SET_ROLE}
 */
public record EngineOrder(
        OrderId orderId,
        long fencing,
        OrderKind kind,
        Optional<AcceleratorId> accelerator,
        Optional<ModelId> model,
        Optional<AdapterId> adapter,
        Optional<String> version,
        long mebibytes,
        long issuedAtMillis,
        long lifetimeMillis,
        Optional<String> role) {}
