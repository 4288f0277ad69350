package org.tamaracktrack.bench.stack;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A stand-in that runs in a separate process; one process may run several stand-ins. */
public final class StandInProcess {
    private static final String MAIN = "org.tamaracktrack.standins.Main";
    private static final String LOOPBACK = "127.0.0.1:";
    private static final int HEAP_MEBIBYTES = 128;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

    private final RunningProgram program;
    private final int index;

    private StandInProcess(RunningProgram program, int index) {
        this.program = program;
        this.index = index;
    }

    /**
     * Starts the process of a stand-in without waiting until it is ready.
     *
     * @param name the name of the process
     * @param kind the kind of stand-in: log, hosts, weights, engine or service
     * @param flags the command-line flags of the stand-in
     * @param directory the directory for its output file
     * @return the first stand-in of the process
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
     * Returns the stand-in with the given index in the same process.
     *
     * @param other the index, from 0
     * @return the stand-in
     */
    public StandInProcess atIndex(int other) {
        return new StandInProcess(program, other);
    }

    private String addressOf(String field) {
        Map<String, String> ready = program.awaitReady(START_TIMEOUT);
        return LOOPBACK + ready.get(field).split(",")[index];
    }

    /**
     * Returns the address at which it serves. Waits until the process has printed its ready line.
     *
     * @return IP address and port
     */
    public String address() {
        return addressOf("port");
    }

    private String controlAddress() {
        return addressOf("control");
    }

    /**
     * Sends a PUT request to its control interface, which switches simulated faults on and off.
     *
     * @param path the path at the control interface
     * @param body the JSON text of the request
     */
    public void putControl(String path, String body) {
        SimpleHttpClient.putJson(controlAddress(), path, body);
    }

    /**
     * Sends a GET request to its control interface, which returns its state and what it has
     * recorded.
     *
     * @param path the path at the control interface
     * @return the JSON value of the answer
     */
    public JsonNode getControl(String path) {
        return SimpleHttpClient.getJson(controlAddress(), path);
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
