package org.tamaracktrack.core.target;

import java.util.List;
import java.util.Objects;
import org.tamaracktrack.core.config.Configuration;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.TargetId;

/**
 * What order control knows from the start.
 *
 * @param target the target
 * @param self this process
 * @param startedAtMillis when this process started, by the host's clock
 * @param checksFencing whether the engine refuses orders with an old fencing number
 * @param accelerators the accelerators that the configuration lists
 */
public record OrderSettings(
        TargetId target,
        IncarnationId self,
        long startedAtMillis,
        boolean checksFencing,
        List<Configuration.Accelerator> accelerators) {
    /** The engine ignores an order this long after it was issued. */
    public static final long LIFETIME_MILLIS = 10_000;

    /** An order is given up if it can't be sent this soon after it was issued. */
    public static final long SEND_WITHIN_MILLIS = 3_000;

    /** Added to a lifetime before memory is given back, for a clock that is slewed. */
    public static final long MARGIN_MILLIS = 1_000;

    /** Checks the arguments. */
    public OrderSettings {
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(self, "self is null");
        accelerators = List.copyOf(accelerators);
    }
}
