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

/** A process that this one started. Its output goes to a file. */
public final class RunningProgram {
    private static final String READY = "ready ";

    private final String name;
    private final Process process;
    private final Path output;
    private final Thread reader;
    private final CompletableFuture<Map<String, String>> ready = new CompletableFuture<>();

    private RunningProgram(String name, Process process, Path output) {
        this.name = name;
        this.process = process;
        this.output = output;
        this.reader = new Thread(this::readOutput, "output-" + name);
    }

    /**
     * Starts a program.
     *
     * @param program what to run
     * @param directory where its output goes
     * @return the process
     * @throws StackException when it can't be started
     */
    public static RunningProgram start(JavaProgram program, Path directory) {
        Objects.requireNonNull(program, "program is null");
        try {
            Files.createDirectories(directory);
            Process process =
                    new ProcessBuilder(program.command()).redirectErrorStream(true).start();
            Path output = directory.resolve(program.name() + "-" + process.pid() + ".log");
            RunningProgram running = new RunningProgram(program.name(), process, output);
            running.reader.setDaemon(true);
            running.reader.start();
            return running;
        } catch (IOException failure) {
            throw StackException.of("can't start " + program.name(), failure);
        }
    }

    private void readOutput() {
        try (BufferedReader lines = process.inputReader(StandardCharsets.UTF_8);
                PrintWriter writer = new PrintWriter(Files.newBufferedWriter(output), true)) {
            lines.lines().forEach(line -> note(line, writer));
        } catch (IOException | UncheckedIOException closed) {
            // The process has ended; that is told below.
        }
        ready.completeExceptionally(StackException.of(name + " ended early; see " + output));
    }

    private void note(String line, PrintWriter writer) {
        writer.println(line);
        if (line.startsWith(READY)) {
            ready.complete(fields(line.substring(READY.length())));
        }
    }

    private static Map<String, String> fields(String line) {
        return Stream.of(line.trim().split(" "))
                .map(field -> field.split("=", 2))
                .filter(field -> field.length == 2)
                .collect(Collectors.toMap(field -> field[0], field -> field[1]));
    }

    /**
     * Waits until the program says that it is ready.
     *
     * @param limit how long to wait
     * @return the fields of its ready line
     * @throws StackException when it ends first, or says nothing in time
     */
    public Map<String, String> awaitReady(Duration limit) {
        try {
            return ready.get(limit.toMillis(), TimeUnit.MILLISECONDS);
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
     * @param limit how long to wait
     * @return its exit status
     * @throws StackException when it goes on
     */
    public int awaitExit(Duration limit) {
        try {
            if (!process.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS)) {
                throw StackException.of(name + " did not end in " + limit + "; see " + output);
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

    /** Sends SIGKILL and waits for the end. */
    public void kill() {
        process.destroyForcibly();
        process.onExit().join();
    }

    /** Sends SIGSTOP: the process stands still and its connections stay open. */
    public void pause() {
        signal("-STOP");
    }

    /** Sends SIGCONT. */
    public void resume() {
        signal("-CONT");
    }

    // Java has no call for these signals.
    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
        } catch (IOException failure) {
            throw StackException.of("can't signal " + name, failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns all that the program printed. To be called after its end.
     *
     * @return its output
     */
    public String wholeOutput() {
        try {
            reader.join();
            return Files.readString(output);
        } catch (IOException failure) {
            throw StackException.of("no output of " + name, failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return "";
        }
    }

    /**
     * Returns whether the process is there.
     *
     * @return whether it has not ended
     */
    public boolean alive() {
        return process.isAlive();
    }

    /**
     * Returns the process's number.
     *
     * @return the process's number
     */
    public long pid() {
        return process.pid();
    }

    /**
     * Returns the program's name.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns the file with the program's output.
     *
     * @return the file
     */
    public Path output() {
        return output;
    }
}
