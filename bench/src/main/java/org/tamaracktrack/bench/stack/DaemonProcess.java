package org.tamaracktrack.bench.stack;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/** A daemon as a process. */
public final class DaemonProcess {
    private static final String MAIN = "org.tamaracktrack.daemon.Main";
    private static final int HEAP_MEBIBYTES = 64;
    private static final Duration START_LIMIT = Duration.ofSeconds(30);

    private final RunningProgram program;

    private DaemonProcess(RunningProgram program) {
        this.program = program;
    }

    /**
     * Starts a daemon; it may not be ready yet.
     *
     * @param name its name
     * @param flags its flags
     * @param directory where its output goes
     * @return the daemon
     */
    public static DaemonProcess start(String name, List<String> flags, Path directory) {
        return new DaemonProcess(
                RunningProgram.start(
                        new JavaProgram(name, MAIN, HEAP_MEBIBYTES, flags), directory));
    }

    private Map<String, String> started() {
        return program.awaitReady(START_LIMIT);
    }

    /**
     * Returns where it serves HTTP.
     *
     * @return IP number and port
     */
    public String httpAddress() {
        return started().get("http");
    }

    /**
     * Returns where other daemons reach it.
     *
     * @return IP number and port
     */
    public String peerAddress() {
        return started().get("peer");
    }

    /**
     * Returns whether it says that it takes new work.
     *
     * @return whether it is ready
     */
    public boolean ready() {
        return Web.get(httpAddress(), "/readyz").isPresent();
    }

    /**
     * Returns its process.
     *
     * @return the process
     */
    public RunningProgram program() {
        return program;
    }
}
