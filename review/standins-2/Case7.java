import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Prompts with one part crash each runner that begins to answer them. Three of them come at once, at
 * two daemons; more come one by one. Sound clients go on with their sessions: their prompts have the
 * same first part and the session's own last part. Three in four have the same short body.
 */
final class Case7 {
    private static final long STABLE_WINDOW_MILLIS = 3_000;
    private static final long TIMEOUT_MILLIS = 15_000;
    private static final int SOUND_PER_SECOND = 24;
    private static final int SESSIONS = 53;
    private static final int EVENTS = 48;
    private static final long EVENT_MILLIS = 25;
    private static final long DEADLY_FROM_MILLIS = 8_000;
    private static final int DEADLY_AT_ONCE = 9;
    private static final long DEADLY_EACH_MILLIS = 2_000;
    private static final long TRAFFIC_MILLIS = 34_000;
    private static final long RUNNER_BACK_MILLIS = 3_000;
    private static final long ENTRY_GONE_MILLIS = 3_600;
    private static final String FIRST_PART = "a1f0";
    private static final String DEADLY_PART = "dead";

    private record Sound(long sentMillis, boolean same, boolean begun, int status) {}

    private final boolean trouble;
    private final Record record;
    private final List<Runner> runners = new CopyOnWriteArrayList<>();
    private final AtomicInteger started = new AtomicInteger();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicLong lastCrash = new AtomicLong(Long.MAX_VALUE);
    private final AtomicLong lastDeadly = new AtomicLong();
    private final Queue<Sound> sounds = new ConcurrentLinkedQueue<>();
    private Store store;
    private Daemon[] daemons;

    private Case7(boolean trouble, Record record) {
        this.trouble = trouble;
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("case7");
        try (Record record = new Record(Path.of(arguments[0]))) {
            record.limit(115);
            System.exit(new Case7(trouble, record).run(folder));
        } catch (Exception failure) {
            failure.printStackTrace();
            System.exit(2);
        }
    }

    private void startRunner() throws Exception {
        Runner runner = new Runner("i-" + started.incrementAndGet(), "lm", store, record, "m0");
        runner.script = (request, channel) -> serve(runner, request, channel);
        runners.add(runner);
    }

    private boolean serve(Runner runner, Web.Message request, Web.Channel channel)
            throws Exception {
        Web.body(channel.in, request, false);
        String attempt = request.header("X-Tamaracktrack-Attempt-Id");
        record.add("run", runner.id, attempt);
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        Runner.seal(request).forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        Web.write(channel.out, head.toString(), Web.EMPTY);
        if (request.header("X-Tamaracktrack-Prompt-Prefix").contains(DEADLY_PART + ":")) {
            crash(runner);
            return false;
        }
        String after = request.header("Last-Event-Id");
        for (int event = after == null ? 1 : Integer.parseInt(after) + 1; event <= EVENTS; event++) {
            String text = "id: " + event + "\ndata: piece " + event + "\n\n";
            Web.write(channel.out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n", Web.EMPTY);
            Thread.sleep(EVENT_MILLIS);
        }
        Web.write(channel.out, "0\r\n\r\n", Web.EMPTY);
        return true;
    }

    // A runner that crashes sends nothing; its entry goes after three check-ins of silence. A new
    // incarnation is there some seconds later.
    private void crash(Runner runner) throws Exception {
        if (!runners.remove(runner)) {
            return;
        }
        crashes.incrementAndGet();
        lastCrash.set(record.millis());
        record.note("runner " + runner.id + " crashes");
        runner.close();
        Web.start(
                "back",
                () -> {
                    try {
                        Thread.sleep(RUNNER_BACK_MILLIS);
                        startRunner();
                        Thread.sleep(ENTRY_GONE_MILLIS - RUNNER_BACK_MILLIS);
                        store.put("keyed.servers", runner.id, "");
                    } catch (Exception ended) {
                        record.note("no new runner: " + ended);
                    }
                });
    }

    private int run(Path folder) throws Exception {
        store = new Store();
        daemons =
                new Daemon[] {
                    new Daemon("front-1", folder, store.server.address()),
                    new Daemon("front-2", folder, store.server.address())
                };
        try {
            for (int number = 0; number < 3; number++) {
                startRunner();
            }
            String engine =
                    ",\"engine\":{\"slots\":64,\"kv_cache_tokens\":134008,\"weights_mb\":220000,"
                            + "\"adapter_slots\":8,\"loads_per_s\":1.4,\"models\":[{\"name\":\"m0\","
                            + "\"weights_mb\":72700,\"load_s\":8.6,\"adapters\":0,\"adapter_mb\":66}]}";
            store.put(
                    "keyed.op",
                    "config",
                    Settings.config(
                            1,
                            Settings.route("review", "/review/", "streaming", TIMEOUT_MILLIS, "lm", ",\"sticky\":true,\"resumable\":true,\"target_gap_ms\":300"),
                            Settings.service("lm", engine),
                            ""));
            for (Daemon daemon : daemons) {
                daemon.start();
            }
            for (Daemon daemon : daemons) {
                if (!daemon.awaitReady(20)) {
                    record.note("a daemon does not become ready");
                    return 2;
                }
            }
            Thread.sleep(4_000);
            long start = record.millis();
            sendTraffic(start);
            return judge(start);
        } finally {
            for (Daemon daemon : daemons) {
                daemon.close();
            }
            store.close();
        }
    }

    private void sendTraffic(long start) throws Exception {
        List<Thread> callers = new ArrayList<>();
        long sound = 0;
        long deadly = 0;
        long past;
        while ((past = record.millis() - start) < TRAFFIC_MILLIS) {
            if (sound < past * SOUND_PER_SECOND / 1_000) {
                long number = sound++;
                callers.add(Web.start("sound", () -> sendSound(number)));
            } else if (trouble && past >= DEADLY_FROM_MILLIS + Math.max(0, deadly - DEADLY_AT_ONCE + 1) * DEADLY_EACH_MILLIS) {
                long number = deadly++;
                lastDeadly.set(record.millis());
                callers.add(Web.start("deadly", () -> sendDeadly(number)));
            } else {
                Thread.sleep(1);
            }
        }
        for (Thread caller : callers) {
            caller.join(TIMEOUT_MILLIS);
        }
    }

    private Caller.End send(long number, String attempt, String parts, String prompt) {
        byte[] body = prompt.getBytes(StandardCharsets.UTF_8);
        Map<String, String> headers =
                Map.of(
                        "X-Tamaracktrack-Model", "m0",
                        "X-Tamaracktrack-Token-Count", "1460,144",
                        "X-Tamaracktrack-Prompt-Prefix", parts);
        record.add("sent", attempt, "parts " + parts + " body \"" + prompt + "\"");
        Caller.End end = new Caller.End();
        try {
            Web.Channel channel = Web.open(daemons[(int) (number % 2)].callers);
            end = Caller.call(channel, Caller.head("POST", "/review/orders", attempt, TIMEOUT_MILLIS, body.length, headers), body, TIMEOUT_MILLIS);
            channel.close();
        } catch (java.io.IOException refused) {
            end.cut = "no channel";
        }
        record.add("answered", attempt, end + (end.status == 200 ? "" : " " + end.text));
        return end;
    }

    private void sendSound(long number) {
        boolean same = number % 4 != 3;
        String parts = FIRST_PART + ":350,5e" + Long.toHexString(4096 + number % SESSIONS) + ":1110";
        String prompt = same ? "go on" : "review order " + number;
        long sent = record.millis();
        Caller.End end = send(number, "s" + number, parts, prompt);
        sounds.add(new Sound(sent, same, end.status == 200 && end.sealed, end.status));
    }

    private void sendDeadly(long number) {
        String parts = FIRST_PART + ":350," + DEADLY_PART + ":200,d" + Long.toHexString(4096 + number) + ":910";
        send(number, "d" + number, parts, "deadly " + number);
    }

    private int judge(long start) {
        long impairedFrom = start + DEADLY_FROM_MILLIS;
        long from = trouble ? lastCrash.get() + 2 * STABLE_WINDOW_MILLIS : impairedFrom + 2 * STABLE_WINDOW_MILLIS;
        long until = trouble ? lastDeadly.get() : Long.MAX_VALUE;
        double before = share("before", sounds.stream().filter(each -> each.sentMillis < impairedFrom).toList());
        double after = share("after", sounds.stream().filter(each -> each.sentMillis > from && each.sentMillis <= until).toList());
        record.note("crashes " + crashes.get());
        if (before < 0 || after < 0 || trouble && crashes.get() < 3) {
            record.note("too few requests or crashes to judge");
            return 2;
        }
        boolean broken = after < before / 2;
        record.note(broken ? "LOST is broken" : "LOST held");
        return broken ? 1 : 0;
    }

    private double share(String when, List<Sound> sent) {
        long begun = sent.stream().filter(Sound::begun).count();
        long same = sent.stream().filter(Sound::same).count();
        long sameBegun = sent.stream().filter(Sound::same).filter(Sound::begun).count();
        record.note("sound requests " + when + ": " + begun + " of " + sent.size() + " begin at the first attempt; the same body " + sameBegun + " of " + same + ", other bodies " + (begun - sameBegun) + " of " + (sent.size() - same));
        return sent.size() < 20 ? -1 : begun / (double) sent.size();
    }
}
