package org.tamaracktrack.core.target;

import java.util.Optional;
import org.tamaracktrack.core.id.AcceleratorId;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.OrderId;

/**
 * An order in the form that is sent to the engine.
 *
 * @param orderId its identifier; the engine carries out each identifier at most once
 * @param fencing the owner's fencing number
 * @param kind the kind of order
 * @param accelerator the accelerator
 * @param model the model, or the adapter's base model
 * @param adapter the adapter
 * @param version the version of the model or adapter
 * @param mebibytes the memory it takes in MiB
 * @param issuedAtMillis the time of issue by the wall clock of the host
 * @param lifetimeMillis the time after which the engine ignores the order, from the time of issue
 * @param role the role; only for {@link OrderKind#SET_ROLE}
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
