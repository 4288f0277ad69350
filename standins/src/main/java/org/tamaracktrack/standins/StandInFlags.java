package org.tamaracktrack.standins;

import com.beust.jcommander.Parameter;

/** The flags that every stand-in has. */
public abstract class StandInFlags {
    @Parameter(names = "--port", description = "port of the service on 127.0.0.1; 0 for any")
    private int port;

    @Parameter(names = "--control-port", description = "port of the control interface; 0 for any")
    private int controlPort;

    @Parameter(names = "--count", description = "how many of the kind in one process; any ports")
    private int count = 1;

    @Parameter(names = "--parent", description = "id of a process whose end ends this one")
    private long parent;

    /**
     * Returns the port of the service.
     *
     * @return the port, or 0 for any
     */
    public int port() {
        return port;
    }

    /**
     * Returns the port of the control interface.
     *
     * @return the port, or 0 for any
     */
    public int controlPort() {
        return controlPort;
    }

    /**
     * Returns how many of the kind to run.
     *
     * @return how many
     */
    public int count() {
        return count;
    }

    /**
     * Ends this process when its parent ends: a killed test run would otherwise leave its stand-ins
     * behind, holding memory and ports.
     */
    public void exitWithParent() {
        if (parent > 0) {
            ProcessHandle.of(parent)
                    .ifPresentOrElse(
                            process -> process.onExit().thenRun(() -> System.exit(1)),
                            () -> System.exit(1));
        }
    }

    /**
     * Makes the stand-in.
     *
     * @return the stand-in
     */
    public abstract StandIn create();
}
