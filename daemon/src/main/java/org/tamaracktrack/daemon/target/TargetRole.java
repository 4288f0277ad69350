package org.tamaracktrack.daemon.target;

import java.util.Objects;
import org.tamaracktrack.daemon.runtime.DaemonRole;
import org.tamaracktrack.daemon.runtime.DaemonRuntime;

/** The target role, running. */
public final class TargetRole implements DaemonRole {
    private final DaemonRuntime runtime;

    private TargetRole(DaemonRuntime runtime) {
        this.runtime = runtime;
    }

    /**
     * Starts the role.
     *
     * @param runtime the parts it is built from
     * @return the running role
     */
    public static TargetRole start(DaemonRuntime runtime) {
        Objects.requireNonNull(runtime, "runtime is null");
        return new TargetRole(runtime);
    }

    @Override
    public boolean drain() {
        runtime.control().close();
        return true;
    }
}
