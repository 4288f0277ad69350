package org.tamaracktrack.bench.stack;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A stand-in as a process. */
public final class StandInProcess {
    private static final String MAIN = "org.tamaracktrack.standins.Main";
    private static final String LOOPBACK = "127.0.0.1:";
    private static final int HEAP_MEBIBYTES = 128;
    private static final Duration START_LIMIT = Duration.ofSeconds(30);

    private final RunningProgram program;
    private final int index;

    private StandInProcess(RunningProgram program, int index) {
        this.program = program;
        this.index = index;
    }

    /**
     * Starts a stand-in; it may not be ready yet.
     *
     * @param name its name
     * @param kind log, hosts, weights, engine or service
     * @param flags its flags
     * @param directory where its output goes
     * @return the stand-in
     */
    public static StandInProcess start(
            String name, String kind, List<String> flags, Path directory) {
        List<String> arguments = new ArrayList<>(List.of(kind));
        arguments.addAll(List.of("--parent", Long.toString(ProcessHandle.current().pid())));
        arguments.addAll(flags);
        return new StandInProcess(
                RunningProgram.start(
                        new JavaProgram(name, MAIN, HEAP_MEBIBYTES, arguments), directory),
                0);
    }

    /**
     * Returns another stand-in of the same process.
     *
     * @param other its index in the process, from 0
     * @return the stand-in
     */
    public StandInProcess at(int other) {
        return new StandInProcess(program, other);
    }

    private String port(String field) {
        Map<String, String> ready = program.awaitReady(START_LIMIT);
        return LOOPBACK + ready.get(field).split(",")[index];
    }

    /**
     * Returns where it serves, once it does.
     *
     * @return IP number and port
     */
    public String address() {
        return port("port");
    }

    private String controlAddress() {
        return port("control");
    }

    /**
     * Tells it to misbehave, or to stop doing so.
     *
     * @param path the control path
     * @param body JSON
     */
    public void tell(String path, String body) {
        Web.put(controlAddress(), path, body);
    }

    /**
     * Asks what it saw.
     *
     * @param path the control path
     * @return JSON
     */
    public JsonNode ask(String path) {
        return Web.json(controlAddress(), path);
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
