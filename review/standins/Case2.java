package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * ORDER: streams that may be resumed, while runners fail a part of their requests: they break off
 * a stream, or answer a request that goes on with one with a failure of their own.
 */
final class Case2 {
    private static final int CLIENTS = 24;
    private static final int EVENTS = 19;
    private static final int EVENT_MILLIS = 60;
    private static final int BEFORE_MILLIS = 8_000;
    private static final int GREY_MILLIS = 4_000;
    private static final int AFTER_MILLIS = 2_000;
    private static final double GREY_SHARE = 0.45;
    private static final int FAILURE = 404;

    private record Seen(String attempt, Wire.Answer answer) {}

    private Case2() {}

    public static void main(String[] arguments) {
        Trial.main(arguments, Case2::run);
    }

    private static boolean run(Trial trial) throws Exception {
        Map<String, String> runs = new ConcurrentHashMap<>();
        Random random = new Random(2);
        Runner.Work sound = (call, channel) -> stream(call, channel, EVENTS, runs);
        Runner.Work grey =
                (call, channel) -> {
                    boolean fails;
                    int last;
                    synchronized (random) {
                        fails = random.nextDouble() < GREY_SHARE;
                        last = 7 + random.nextInt(EVENTS - 8);
                    }
                    if (!fails) {
                        return stream(call, channel, EVENTS, runs);
                    }
                    if (call.header("Last-Event-Id").isEmpty()) {
                        stream(call, channel, last, runs);
                        channel.setSoLinger(true, 0);
                        channel.close();
                        return false;
                    }
                    note(runs, call, "failed with " + FAILURE);
                    return Runner.answer(call, channel, FAILURE, "");
                };
        List<Runner> runners = new ArrayList<>();
        for (int number = 0; number < 8; number++) {
            runners.add(
                    new Runner(
                            "n-" + number,
                            "narrator",
                            64,
                            "m0",
                            trial.ip(100 + number),
                            trial.store,
                            sound));
        }
        trial.publish(1, Trial.route("summary", "streaming", "narrator", 15_000, 2));
        List<Gateway> gateways = new ArrayList<>();
        for (int number = 1; number <= 4; number++) {
            gateways.add(trial.gateway(number));
        }
        for (Gateway gateway : gateways) {
            trial.awaitServed(gateway, "/summary/1");
        }
        trial.note("4 machines serve");

        Queue<Seen> seen = new ConcurrentLinkedQueue<>();
        long end =
                System.nanoTime() + (BEFORE_MILLIS + GREY_MILLIS + AFTER_MILLIS) * 1_000_000L;
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            int client = number;
            Thread thread = new Thread(() -> send(client, gateways.get(client % 4), seen, end));
            thread.start();
            clients.add(thread);
        }
        Thread.sleep(BEFORE_MILLIS);
        if (trial.trouble) {
            trial.note("all runners fail " + GREY_SHARE + " of their requests");
            runners.forEach(runner -> runner.work(grey));
        }
        Thread.sleep(GREY_MILLIS);
        runners.forEach(runner -> runner.work(sound));
        trial.note("the runners fail none");
        for (Thread client : clients) {
            client.join(20_000);
        }

        int broken = 0;
        int cut = 0;
        Map<Integer, Integer> statuses = new ConcurrentHashMap<>();
        for (Seen stream : seen) {
            Wire.Answer answer = stream.answer();
            statuses.merge(answer.status(), 1, Integer::sum);
            int events = answer.text().split("\n\n").length;
            if (answer.status() == 200 && !answer.complete()) {
                cut++;
            }
            trial.note(
                    stream.attempt()
                            + " answered "
                            + answer.status()
                            + (answer.complete() ? ", complete, " : ", cut, ")
                            + events
                            + " events; at the runners: "
                            + runs.get(stream.attempt()));
            if (answer.status() == 200 && answer.complete() && events < EVENTS) {
                broken++;
                trial.note(
                        "BROKEN: stream "
                                + stream.attempt()
                                + " ended as complete after "
                                + events
                                + " of "
                                + EVENTS
                                + " events; at the runners: "
                                + runs.get(stream.attempt()));
            }
        }
        trial.note("streams " + seen.size() + ", statuses " + statuses + ", cut " + cut);
        trial.note("ended as complete before their last event: " + broken);
        return broken == 0;
    }

    private static void note(Map<String, String> runs, Wire.Call call, String what) {
        runs.merge(
                call.header("X-Tamaracktrack-Attempt-Id"),
                what,
                (first, next) -> first + ", then " + next);
    }

    /** Writes events up to one, and the end of the stream after the last one. */
    private static boolean stream(
            Wire.Call call, Socket channel, int last, Map<String, String> runs) throws Exception {
        int from = call.header("Last-Event-Id").isEmpty()
                ? 0
                : Integer.parseInt(call.header("Last-Event-Id"));
        note(runs, call, "wrote events after " + from + (last < EVENTS ? ", broke off" : ""));
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        Runner.sealed(call).forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        write(channel, head.toString());
        for (int event = from + 1; event <= last; event++) {
            String text = "id: " + event + "\ndata: piece " + event + "\n\n";
            write(channel, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            Thread.sleep(EVENT_MILLIS);
        }
        if (last == EVENTS) {
            write(channel, "0\r\n\r\n");
        }
        return true;
    }

    private static void write(Socket channel, String text) throws IOException {
        channel.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        channel.getOutputStream().flush();
    }

    private static void send(int client, Gateway gateway, Queue<Seen> seen, long end) {
        int number = 0;
        while (System.nanoTime() < end) {
            try (Wire.Channel channel = new Wire.Channel(gateway.front, 20_000)) {
                boolean open = true;
                while (open && System.nanoTime() < end) {
                    String attempt = "s-" + client + "-" + number++;
                    Map<String, String> headers = Trial.request(attempt, 15_000);
                    headers.put("X-Tamaracktrack-Model", "m0");
                    headers.put("X-Tamaracktrack-Token-Count", "460,57");
                    headers.put(
                            "X-Tamaracktrack-Prompt-Prefix",
                            "a100:210,b100:140,c" + client + "d" + number + ":110");
                    channel.send("POST", "/summary/" + attempt, headers, "prompt".getBytes());
                    Wire.Answer answer = channel.read();
                    seen.add(new Seen(attempt, answer));
                    open =
                            answer.complete()
                                    && !"close".equals(answer.headers().get("connection"));
                    Thread.sleep(100);
                }
            } catch (IOException broken) {
                // The client opens a new channel.
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }
}
