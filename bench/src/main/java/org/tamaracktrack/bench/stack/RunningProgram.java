package org.tamaracktrack.bench.stack;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** A child process whose output is written to a file. */
public final class RunningProgram {
    private static final String READY_PREFIX = "ready ";

    private final String name;
    private final Process process;
    private final Path output;
    private final Thread outputReader;
    private final CompletableFuture<Map<String, String>> readyFields = new CompletableFuture<>();

    private RunningProgram(String name, Process process, Path output) {
        this.name = name;
        this.process = process;
        this.output = output;
        this.outputReader = new Thread(this::readOutput, "output-" + name);
    }

    /**
     * Starts a program and copies its standard output and standard error to a file.
     *
     * @param program the program to run
     * @param directory the directory for the output file, created if absent
     * @return the process
     * @throws StackException when the process can't be started
     */
    public static RunningProgram start(JavaProgram program, Path directory) {
        Objects.requireNonNull(program, "program is null");
        try {
            Files.createDirectories(directory);
            Process process =
                    new ProcessBuilder(program.command()).redirectErrorStream(true).start();
            Path output = directory.resolve(program.name() + "-" + process.pid() + ".log");
            RunningProgram running = new RunningProgram(program.name(), process, output);
            running.outputReader.setDaemon(true);
            running.outputReader.start();
            return running;
        } catch (IOException failure) {
            throw StackException.of("can't start process " + program.name(), failure);
        }
    }

    private void readOutput() {
        try (BufferedReader lines = process.inputReader(StandardCharsets.UTF_8);
                PrintWriter writer = new PrintWriter(Files.newBufferedWriter(output), true)) {
            lines.lines().forEach(line -> handleLine(line, writer));
        } catch (IOException | UncheckedIOException closed) {
            // The process has ended; the future is completed below.
        }
        readyFields.completeExceptionally(
                StackException.of(name + " ended before it was ready; see " + output));
    }

    private void handleLine(String line, PrintWriter writer) {
        writer.println(line);
        if (line.startsWith(READY_PREFIX)) {
            readyFields.complete(fields(line.substring(READY_PREFIX.length())));
        }
    }

    private static Map<String, String> fields(String line) {
        return Stream.of(line.trim().split(" "))
                .map(field -> field.split("=", 2))
                .filter(field -> field.length == 2)
                .collect(Collectors.toMap(field -> field[0], field -> field[1]));
    }

    /**
     * Waits until the program has printed its ready line.
     *
     * @param timeout the maximum time to wait
     * @return the fields of the ready line by name
     * @throws StackException when the program ends first or is not ready in time
     */
    public Map<String, String> awaitReady(Duration timeout) {
        try {
            return readyFields.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException failure) {
            throw StackException.of(name + " did not become ready; see " + output, failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw StackException.of("interrupted", interrupted);
        }
    }

    /**
     * Waits until the process has ended.
     *
     * @param timeout the maximum time to wait
     * @return its exit status
     * @throws StackException when the process does not end in time
     */
    public int awaitExit(Duration timeout) {
        try {
            if (!process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
                throw StackException.of(name + " did not end in " + timeout + "; see " + output);
            }
            return process.exitValue();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw StackException.of("interrupted", interrupted);
        }
    }

    /** Sends SIGTERM. */
    public void terminate() {
        process.destroy();
    }

    /** Sends SIGKILL and waits until the process has ended. */
    public void kill() {
        process.destroyForcibly();
        process.onExit().join();
    }

    /** Sends SIGSTOP, which suspends the process and leaves its connections open. */
    public void pause() {
        sendSignal("-STOP");
    }

    /** Sends SIGCONT, which resumes a suspended process. */
    public void resume() {
        sendSignal("-CONT");
    }

    // Java has no API for sending these signals.
    private void sendSignal(String signal) {
        try {
            new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
        } catch (IOException failure) {
            throw StackException.of("can't send a signal to " + name, failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the complete output of the program. Waits until the process has closed its output.
     *
     * @return its output, or an empty string when interrupted
     */
    public String wholeOutput() {
        try {
            outputReader.join();
            return Files.readString(output);
        } catch (IOException failure) {
            throw StackException.of("can't read the output file of " + name, failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return "";
        }
    }

    /**
     * Returns whether the process is running.
     *
     * @return whether it has not ended
     */
    public boolean alive() {
        return process.isAlive();
    }

    /**
     * Returns the process ID.
     *
     * @return the process ID
     */
    public long pid() {
        return process.pid();
    }

    /**
     * Returns the name of the process.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns the file that receives the program's output.
     *
     * @return the file
     */
    public Path output() {
        return output;
    }
}
