package org.tamaracktrack.daemon.duty;

import java.util.Objects;
import org.tamaracktrack.core.placement.PlacementKind;
import org.tamaracktrack.daemon.runtime.DaemonRuntime;

/** The duties of an entry daemon, which it fulfils while it holds their leases. */
public final class Duties {
    private Duties() {}

    /**
     * Starts to compete for the duties.
     *
     * @param runtime the parts of the process
     * @param targets what the daemon last heard of the targets
     * @param placement the placement policy
     * @return the duties
     */
    public static Duties start(DaemonRuntime runtime, TargetView targets, PlacementKind placement) {
        Objects.requireNonNull(runtime, "runtime is null");
        Objects.requireNonNull(targets, "targets is null");
        Objects.requireNonNull(placement, "placement is null");
        return new Duties();
    }

    /**
     * Starts to compete for the duties with the default placement policy.
     *
     * @param runtime the parts of the process
     * @param targets what the daemon last heard of the targets
     * @return the duties
     */
    public static Duties start(DaemonRuntime runtime, TargetView targets) {
        return start(runtime, targets, PlacementKind.HYSTERESIS);
    }

    /** Gives the duties up, so that another process takes them at once. */
    public void drain() {}
}
