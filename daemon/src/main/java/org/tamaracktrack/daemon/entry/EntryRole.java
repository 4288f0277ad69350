package org.tamaracktrack.daemon.entry;

import java.util.Objects;
import org.tamaracktrack.daemon.runtime.DaemonRole;
import org.tamaracktrack.daemon.runtime.DaemonRuntime;

/** The entry role, running. */
public final class EntryRole implements DaemonRole {
    private final DaemonRuntime runtime;

    private EntryRole(DaemonRuntime runtime) {
        this.runtime = runtime;
    }

    /**
     * Starts the role.
     *
     * @param runtime the parts it is built from
     * @return the running role
     */
    public static EntryRole start(DaemonRuntime runtime) {
        Objects.requireNonNull(runtime, "runtime is null");
        return new EntryRole(runtime);
    }

    @Override
    public boolean drain() {
        runtime.control().close();
        return true;
    }
}
