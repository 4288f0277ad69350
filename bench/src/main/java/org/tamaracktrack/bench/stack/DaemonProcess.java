package org.tamaracktrack.bench.stack;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/** A daemon that runs as a separate process. */
public final class DaemonProcess {
    private static final String MAIN = "org.tamaracktrack.daemon.Main";
    private static final int HEAP_MEBIBYTES = 64;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

    private final RunningProgram program;

    private DaemonProcess(RunningProgram program) {
        this.program = program;
    }

    /**
     * Starts a daemon without waiting until it is ready.
     *
     * @param name the name of the process
     * @param flags the command-line flags of the daemon
     * @param directory the directory for its output file
     * @return the started daemon
     */
    public static DaemonProcess start(String name, List<String> flags, Path directory) {
        return new DaemonProcess(
                RunningProgram.start(
                        new JavaProgram(name, MAIN, HEAP_MEBIBYTES, flags), directory));
    }

    private Map<String, String> readyFields() {
        return program.awaitReady(START_TIMEOUT);
    }

    /**
     * Returns the address of its HTTP interface. Waits until the daemon has printed its ready line.
     *
     * @return IP address and port
     */
    public String httpAddress() {
        return readyFields().get("http");
    }

    /**
     * Returns the address for connections of other daemons. Waits until the daemon has printed its
     * ready line.
     *
     * @return IP address and port
     */
    public String peerAddress() {
        return readyFields().get("peer");
    }

    /**
     * Returns whether its readiness endpoint reports that it accepts new requests.
     *
     * @return whether it is ready
     */
    public boolean ready() {
        return SimpleHttpClient.get(httpAddress(), "/readyz").isPresent();
    }

    /**
     * Returns the underlying process.
     *
     * @return the process
     */
    public RunningProgram program() {
        return program;
    }
}
