package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Stream;

/**
 * CONFIG: lookups with small bodies beside requests with bodies of the size that the config
 * allows. The trouble: for some seconds all new channels go to one of four machines.
 */
final class Case5 {
    private static final int BODY_BYTES = 4_194_304;
    private static final int LARGE_REQUESTS = 36;
    private static final int CROWDED_MILLIS = 3_000;
    private static final int SENT_WITHIN_MILLIS = 2_000;
    private static final int LOOKUPS = 400;
    private static final int LOOKUP_MILLIS = 40;
    private static final int TIMEOUT_MILLIS = 600;
    private static final int SLACK_MILLIS = 500;

    private static volatile boolean crowded;

    private record Seen(String attempt, long atMillis, String outcome) {
        boolean isLaterThan(int millis) {
            return atMillis > millis;
        }
    }

    private Case5() {}

    public static void main(String[] arguments) {
        Trial.main(arguments, Case5::run);
    }

    private static boolean run(Trial trial) throws Exception {
        Map<String, Integer> runs = new ConcurrentHashMap<>();
        Runner.Work work =
                (call, channel) -> {
                    runs.merge(call.header("X-Tamaracktrack-Attempt-Id"), 1, Integer::sum);
                    Thread.sleep(20);
                    return Runner.answer(call, channel, 200, "vehicle");
                };
        for (int number = 0; number < 3; number++) {
            new Runner(
                    "i-" + number, "registry-api", 6, "", trial.ip(100 + number), trial.store, work);
        }
        trial.publish(
                1,
                Trial.route("plate", "non_idempotent", "registry-api", 15_000, 1)
                        + ","
                        + Trial.route("vin", "idempotent", "registry-api", TIMEOUT_MILLIS, 2));
        List<Gateway> gateways = new ArrayList<>();
        for (int number = 1; number <= 4; number++) {
            gateways.add(trial.gateway(number));
        }
        for (Gateway gateway : gateways) {
            trial.awaitServed(gateway, "/vin/1");
        }
        trial.note("4 machines serve");

        Queue<Seen> lookups = new ConcurrentLinkedQueue<>();
        Queue<Seen> large = new ConcurrentLinkedQueue<>();
        List<Thread> clients = new ArrayList<>();
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        Thread burst =
                new Thread(
                        () -> {
                            for (int number = 0; number < LARGE_REQUESTS; number++) {
                                String attempt = "large-" + number;
                                Gateway gateway = machine(gateways, number);
                                start(
                                        clients,
                                        () ->
                                                large.add(
                                                        send(
                                                                gateway, "POST", "/plate/", attempt,
                                                                15_000, 16_000, body)));
                                pause(SENT_WITHIN_MILLIS / LARGE_REQUESTS);
                            }
                        });
        for (int number = 0; number < LOOKUPS; number++) {
            if (number == LOOKUPS / 8) {
                trial.note(LARGE_REQUESTS + " requests of " + BODY_BYTES + " bytes begin");
                crowded = trial.trouble;
                burst.start();
            }
            if (number == LOOKUPS / 8 + CROWDED_MILLIS / LOOKUP_MILLIS) {
                crowded = false;
                trial.note("new channels go to all machines");
            }
            String attempt = "lookup-" + number;
            Gateway gateway = machine(gateways, number);
            start(
                    clients,
                    () ->
                            lookups.add(
                                    send(
                                            gateway, "GET", "/vin/", attempt, 2_500, 2_500,
                                            new byte[0])));
            Thread.sleep(LOOKUP_MILLIS);
        }
        burst.join();
        List<Thread> all;
        synchronized (clients) {
            all = List.copyOf(clients);
        }
        for (Thread client : all) {
            client.join(20_000);
        }

        long atTimeout = lookups.stream().filter(seen -> seen.isLaterThan(TIMEOUT_MILLIS)).count();
        long later =
                lookups.stream()
                        .filter(seen -> seen.isLaterThan(TIMEOUT_MILLIS + SLACK_MILLIS))
                        .count();
        Stream.concat(lookups.stream(), large.stream())
                .forEach(
                        seen ->
                                trial.note(
                                        seen.attempt()
                                                + " "
                                                + seen.outcome()
                                                + " after "
                                                + seen.atMillis()
                                                + " ms, runs "
                                                + runs.getOrDefault(seen.attempt(), 0)));
        trial.note("lookups " + lookups.size() + " " + outcomes(lookups));
        trial.note("large requests " + large.size() + " " + outcomes(large) + " ran " + runs
                .keySet().stream().filter(attempt -> attempt.startsWith("large")).count());
        for (Gateway gateway : gateways) {
            trial.note(
                    "OutOfMemoryError in the log of "
                            + gateway.name
                            + ": "
                            + gateway.logLines("OutOfMemoryError").size());
        }
        trial.note(
                "unanswered at "
                        + TIMEOUT_MILLIS
                        + " ms: "
                        + atTimeout
                        + ", of these half a second later: "
                        + later);
        return !(later >= 8 && later * 2 > atTimeout);
    }

    private static Gateway machine(List<Gateway> gateways, int number) {
        return gateways.get(crowded ? 0 : number % gateways.size());
    }

    private static Map<String, Integer> outcomes(Queue<Seen> seen) {
        Map<String, Integer> counts = new java.util.TreeMap<>();
        seen.forEach(one -> counts.merge(one.outcome(), 1, Integer::sum));
        return counts;
    }

    private static void start(List<Thread> clients, Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        synchronized (clients) {
            clients.add(thread);
        }
        thread.start();
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private static Seen send(
            Gateway gateway,
            String method,
            String path,
            String attempt,
            int deadlineMillis,
            int waitMillis,
            byte[] body) {
        long started = System.nanoTime();
        String outcome;
        try (Wire.Channel channel = new Wire.Channel(gateway.front, waitMillis)) {
            channel.send(method, path + attempt, Trial.request(attempt, deadlineMillis), body);
            Wire.Answer answer = channel.read();
            outcome = answer.complete() ? "" + answer.status() : "channel closed";
        } catch (IOException silent) {
            outcome = silent.getClass().getSimpleName();
        }
        return new Seen(attempt, (System.nanoTime() - started) / 1_000_000, outcome);
    }
}
