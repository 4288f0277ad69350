package org.tamaracktrack.core.target;

import java.util.List;
import java.util.Objects;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.TargetId;

/**
 * The settings of an {@link OrderController}.
 *
 * @param target the target
 * @param self the incarnation of this process
 * @param startedAtMillis the start time of this process by the wall clock of the host
 * @param checksFencing whether the engine rejects orders with an outdated fencing number
 * @param accelerators the configured accelerators of the target
 */
public record OrderSettings(
        TargetId target,
        IncarnationId self,
        long startedAtMillis,
        boolean checksFencing,
        List<Configuration.Accelerator> accelerators) {
    /** The lifetime of an order: the engine ignores it this long after it was issued. */
    public static final long LIFETIME_MILLIS = 10_000;

    /** The time after issue within which an order must be sent; a later one is abandoned. */
    public static final long SEND_WITHIN_MILLIS = 3_000;

    /** Added to a lifetime before memory is released, to allow for slewing of the wall clock. */
    public static final long MARGIN_MILLIS = 1_000;

    /** Checks the arguments. */
    public OrderSettings {
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(self, "self is null");
        accelerators = List.copyOf(accelerators);
    }
}
