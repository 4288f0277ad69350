import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of the program, started with the command of the deploy file. */
final class Daemon implements AutoCloseable {
    final String host;
    final int callers = Web.freePort();
    final int readiness = Web.freePort();
    final int metrics = Web.freePort();
    final int daemons = Web.freePort();
    private final Path folder;
    private final Path settings;
    private final List<String> command = new ArrayList<>();
    private Process process;

    Daemon(String host, Path folder, String store, String... more) throws IOException {
        this.host = host;
        this.folder = folder;
        settings = folder.resolve(host + ".flags");
        List<String> lines =
                new ArrayList<>(
                        List.of(
                                "--host", host,
                                "--data-centre", "zone-a",
                                "--callers-address", "127.0.0.1:" + callers,
                                "--readiness-address", "127.0.0.1:" + readiness,
                                "--metrics-address", "127.0.0.1:" + metrics,
                                "--daemons-address", "127.0.0.1:" + daemons,
                                "--store-address", store,
                                "--retry-ratio", "0.2",
                                "--retry-window-seconds", "10",
                                "--retry-slack", "52",
                                "--grace-seconds", "8",
                                "--lease-millis", "3000",
                                "--leaving-millis", "2000",
                                "--configuration-millis", "2000",
                                "--quarantine-millis", "3000",
                                "--settling-millis", "3000",
                                "--processor-share", "0.57",
                                "--link-megabits", "1000.0"));
        lines.addAll(List.of(more));
        Files.write(settings, lines);
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                for (String word : run.split(" ")) {
                    command.add(word.startsWith("@") ? "@" + settings : word);
                }
            }
        }
    }

    /** Limits the descriptors of the process, as the platform does. */
    void limitDescriptors(int count) {
        command.addAll(0, List.of("bash", "-c", "ulimit -n " + count + " && exec \"$@\"", "daemon"));
    }

    void start() throws IOException {
        File log = folder.resolve(host + ".log").toFile();
        process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                        .start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    /** Runs a task with the exit code when the process has ended. */
    void onEnd(java.util.function.IntConsumer task) {
        process.onExit().thenAccept(ended -> task.accept(ended.exitValue()));
    }

    Path log() {
        return folder.resolve(host + ".log");
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitValue() {
        return process.exitValue();
    }

    long pid() {
        return process.pid();
    }

    /** Returns the status of the readiness check; 0 where none comes within a second. */
    int ready() {
        try (java.net.Socket socket = new java.net.Socket()) {
            socket.connect(new java.net.InetSocketAddress("127.0.0.1", readiness), 1000);
            socket.setSoTimeout(1000);
            Web.Channel channel = new Web.Channel(socket);
            Web.write(
                    channel.out,
                    "GET /tamaracktrack/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                    Web.EMPTY);
            Web.Message answer = Web.head(channel.in);
            return answer == null ? 0 : answer.status();
        } catch (IOException none) {
            return 0;
        }
    }

    boolean awaitReady(long seconds) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < until) {
            if (ready() == 200) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Sends a signal to this process only. */
    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
