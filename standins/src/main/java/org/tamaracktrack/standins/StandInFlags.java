package org.tamaracktrack.standins;

import com.beust.jcommander.Parameter;

/** Holds the flags that all stand-ins share. */
public abstract class StandInFlags {
    @Parameter(
            names = "--port",
            description = "port of the emulated system on 127.0.0.1; 0 for any")
    private int port;

    @Parameter(names = "--control-port", description = "port of the control interface; 0 for any")
    private int controlPort;

    @Parameter(
            names = "--count",
            description = "number of stand-ins in this process; above 1, both ports must be 0")
    private int count = 1;

    @Parameter(names = "--parent", description = "id of the process with which this one exits")
    private long parentProcessId;

    /**
     * Returns the port of the emulated system.
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
     * Returns the number of stand-ins to run in this process.
     *
     * @return the number
     */
    public int count() {
        return count;
    }

    /**
     * Exits this process when its parent process ends, if one was given. A killed test run would
     * otherwise leave stand-ins running that hold memory and ports.
     */
    public void exitWithParent() {
        if (parentProcessId > 0) {
            ProcessHandle.of(parentProcessId)
                    .ifPresentOrElse(
                            process -> process.onExit().thenRun(() -> System.exit(1)),
                            () -> System.exit(1));
        }
    }

    /**
     * Creates a stand-in.
     *
     * @return the stand-in
     */
    public abstract StandIn create();
}
