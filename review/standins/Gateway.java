package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The project's program as a separate process, started with the command of the deploy file. */
final class Gateway {
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.0-9]+)}}");

    final String name;
    final String front;
    final String ready;
    private final List<String> command;
    private final Path log;
    private volatile Process process;

    private Gateway(String name, String front, String ready, List<String> command, Path log)
            throws IOException {
        this.name = name;
        this.front = front;
        this.ready = ready;
        this.command = command;
        this.log = log;
        Runtime.getRuntime().addShutdownHook(new Thread(() -> process.destroyForcibly()));
        launch();
    }

    /** Starts the process, also again with the same settings after it has ended. */
    void launch() throws IOException {
        process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
    }

    /** Starts it with the settings of the sheet of Annex B (ko-athina). */
    static Gateway start(String name, String ip, String store, Path folder) throws IOException {
        List<Integer> ports = freePorts(ip, 3);
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("node_name", name);
        fields.put("zone", "hall-a");
        fields.put("ip", ip);
        fields.put("listen.front", ip + ":" + ports.get(0));
        fields.put("listen.ready", ip + ":" + ports.get(1));
        fields.put("internal_ports.0", "" + ports.get(2));
        fields.put("platform.address", store);
        fields.put("bounds.retry_budget_ratio", "0.2");
        fields.put("bounds.budget_window_s", "10");
        fields.put("bounds.budget_slack", "52");
        fields.put("bounds.grace_s", "8");
        fields.put("bounds.lease_ms", "3000");
        fields.put("bounds.drain_ms", "2000");
        fields.put("bounds.config_apply_ms", "2000");
        fields.put("bounds.stable_window_ms", "3000");
        fields.put("limits.cpu_share", "0.57");
        fields.put("limits.link_mbps", "1000.0");
        fields.put("contracts.0", "base");
        fields.put(
                "contracts",
                "base,drain,config,cost,retry,recover,fleet,stream,engine,platform");
        Path settings = folder.resolve(name + ".flags");
        Files.writeString(settings, fill(Files.readString(Path.of("deploy/gateway.flags")), fields));
        Path log = folder.resolve(name + ".log");
        return new Gateway(
                name, ip + ":" + ports.get(0), ip + ":" + ports.get(1), command(settings), log);
    }

    private static List<String> command(Path settings) throws IOException {
        Matcher run =
                Pattern.compile("(?m)^run = \"([^\"]+)\"")
                        .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no command in deploy/system.toml");
        }
        List<String> words = new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
        words.replaceAll(word -> word.startsWith("@") ? "@" + settings : word);
        return words;
    }

    /** Fills in the template as the platform does, as far as this template needs it. */
    private static String fill(String template, Map<String, String> fields) {
        StringBuilder filled = new StringBuilder();
        String skipped = "";
        for (String line : template.split("\n")) {
            if (line.startsWith("{{#")) {
                String field = line.substring(3, line.length() - 2);
                skipped = fields.containsKey(field) ? skipped : field;
            } else if (line.startsWith("{{/")) {
                skipped = "";
            } else if (skipped.isEmpty()) {
                Matcher placeholder = PLACEHOLDER.matcher(line);
                filled.append(
                                placeholder.replaceAll(
                                        found ->
                                                Matcher.quoteReplacement(
                                                        fields.getOrDefault(found.group(1), ""))))
                        .append('\n');
            }
        }
        return filled.toString();
    }

    static List<Integer> freePorts(String ip, int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip));
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends a signal to it, such as STOP and CONT. */
    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
    }

    void end() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }

    /** Returns the status of the readiness check; 0 when it does not answer within a second. */
    int readiness() {
        try (Wire.Channel channel = new Wire.Channel(ready, 1_000)) {
            channel.send("GET", "/tamaracktrack/readiness", Map.of("Host", "ready"), new byte[0]);
            return channel.read().status();
        } catch (IOException silent) {
            return 0;
        }
    }

    void awaitReady() throws Exception {
        long until = System.nanoTime() + 30_000_000_000L;
        while (readiness() != 200) {
            if (System.nanoTime() > until || !process.isAlive()) {
                throw new IllegalStateException(name + " did not become ready");
            }
            Thread.sleep(50);
        }
    }

    /** Returns the lines of its log that contain a text. */
    List<String> logLines(String text) throws IOException {
        return Files.readAllLines(log).stream().filter(line -> line.contains(text)).toList();
    }
}
