import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The platform hands most new channels to one daemon for some seconds. Clients leave their channels
 * open for further requests, as they may. The daemon has the descriptors of the sheet.
 */
final class Case8 {
    private static final long STABLE_WINDOW_MILLIS = 4_000;
    private static final int MANY_CLIENTS = 7;
    private static final int DESCRIPTORS = 4_100;
    private static final long CLIENT_MILLIS = 4_000;
    private static final int FIRST_CHANNELS = 820;
    private static final long FIRST_MILLIS = 7_000;
    private static final int USUAL_PER_SECOND = 14;
    private static final int CROWD_PER_SECOND = 330;
    private static final long CROWD_FROM_MILLIS = 10_000;
    private static final long CROWD_MILLIS = 10_000;
    private static final long TRAFFIC_MILLIS = 45_000;

    private record Try(long openedMillis, long takenMillis, int status) {}

    private record Check(long atMillis, int status) {}

    private final boolean trouble;
    private final Record record;
    private final Queue<Try> tries = new ConcurrentLinkedQueue<>();
    private final Queue<Web.Channel> kept = new ConcurrentLinkedQueue<>();
    private final List<Check> checks = new ArrayList<>();
    private volatile boolean ended;

    private Case8(boolean trouble, Record record) {
        this.trouble = trouble;
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("case8");
        try (Record record = new Record(Path.of(arguments[0]))) {
            record.limit(115);
            System.exit(new Case8(trouble, record).run(folder));
        } catch (Exception failure) {
            failure.printStackTrace();
            System.exit(2);
        }
    }

    private int run(Path folder) throws Exception {
        try (Store store = new Store();
                Daemon daemon = new Daemon("front-1", folder, store.server.address())) {
            for (int number = 0; number < 3; number++) {
                Runner runner = new Runner("i-" + number, "portal", store, record);
                runner.slots = 6;
                runner.script =
                        (request, channel) -> {
                            Thread.sleep(20);
                            return runner.answer(request, channel, 200, "found");
                        };
            }
            store.put(
                    "keyed.op",
                    "config",
                    Settings.config(
                            1,
                            Settings.route("lookup", "/lookup/", "idempotent", CLIENT_MILLIS, "portal", ""),
                            Settings.service("portal", ""),
                            ""));
            daemon.limitDescriptors(DESCRIPTORS);
            daemon.start();
            if (!daemon.awaitReady(20)) {
                record.note("the daemon does not become ready");
                return 2;
            }
            Thread.sleep(2_000);
            Web.start("balancer", () -> check(daemon));
            long start = record.millis();
            boolean opened = sendTraffic(daemon, start);
            ended = true;
            if (!opened) {
                record.note("this machine does not allow the clients as many channels");
                return 2;
            }
            return judge(start, daemon);
        }
    }

    /** Asks each second on a kept channel whether the daemon is ready, as the platform does. */
    private void check(Daemon daemon) {
        Web.Channel channel = null;
        while (!ended) {
            long at = record.millis();
            int status = 0;
            try {
                if (channel == null) {
                    channel = Web.open(daemon.readiness);
                    channel.socket.setSoTimeout(1_000);
                }
                Web.write(channel.out, "GET /tamaracktrack/readiness HTTP/1.1\r\nHost: balancer\r\n\r\n", Web.EMPTY);
                Web.Message answer = Web.head(channel.in);
                status = answer == null ? 0 : answer.status();
            } catch (IOException missed) {
                status = 0;
            }
            if (status == 0 && channel != null) {
                channel.close();
                channel = null;
            }
            synchronized (checks) {
                checks.add(new Check(at, status));
            }
            record.add("ready", "-", Integer.toString(status));
            try {
                Thread.sleep(Math.max(0, at + 1_000 - record.millis()));
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }

    private boolean sendTraffic(Daemon daemon, long start) throws Exception {
        List<Thread> callers = new ArrayList<>();
        long sent = 0;
        long past;
        boolean noted = false;
        while ((past = record.millis() - start) < TRAFFIC_MILLIS) {
            long crowd = trouble ? Math.max(0, Math.min(past - CROWD_FROM_MILLIS, CROWD_MILLIS)) : 0;
            if (crowd > 0 && !noted) {
                noted = true;
                record.note("most new channels go to this daemon for " + CROWD_MILLIS + " ms");
            }
            long due = FIRST_CHANNELS * Math.min(past, FIRST_MILLIS) / FIRST_MILLIS + USUAL_PER_SECOND * Math.max(0, past - FIRST_MILLIS) / 1_000 + (CROWD_PER_SECOND - USUAL_PER_SECOND) * crowd / 1_000;
            if (sent < due) {
                String attempt = "a" + sent++;
                callers.add(Web.start(attempt, () -> call(daemon, attempt)));
            } else {
                Thread.sleep(1);
            }
        }
        for (Thread caller : callers) {
            caller.join(2 * CLIENT_MILLIS);
        }
        return tries.stream().noneMatch(each -> each.status == -1);
    }

    private void call(Daemon daemon, String attempt) {
        long opened = record.millis();
        Caller.End end = new Caller.End();
        try {
            Web.Channel channel = Web.open(daemon.callers);
            end = Caller.call(channel, Caller.head("GET", "/lookup/" + attempt, attempt, CLIENT_MILLIS, 0, Map.of()), Web.EMPTY, CLIENT_MILLIS - 1_500);
            if (end.status == 0) {
                channel.close();
            } else {
                kept.add(channel);
            }
        } catch (IOException refused) {
            end.cut = String.valueOf(refused.getMessage());
            end.status = end.cut.contains("open files") ? -1 : 0;
        }
        record.add("answered", attempt, end.toString());
        boolean taken = end.status > 0 || end.cut.equals("channel closed");
        tries.add(new Try(opened, taken ? record.millis() : -1, end.status));
    }

    private int judge(long start, Daemon daemon) throws IOException {
        List<Long> taken = new ArrayList<>(tries.stream().filter(each -> each.takenMillis >= 0).map(Try::takenMillis).sorted().toList());
        taken.add(start + TRAFFIC_MILLIS);
        long longest = 0;
        long previous = start;
        for (long at : taken) {
            longest = Math.max(longest, readyMillis(previous, at));
            previous = at;
        }
        record.note("channels tried " + tries.size() + ", taken " + (taken.size() - 1) + ", kept " + kept.size());
        record.note("longest time without a new channel, of the daemon ready and of " + MANY_CLIENTS + " clients or more that try: " + longest + " ms");
        record.note("failed accepts in its log: " + (Files.readString(daemon.log(), StandardCharsets.ISO_8859_1).split("Too many open files", -1).length - 1));
        boolean broken = longest >= STABLE_WINDOW_MILLIS;
        record.note(broken ? "RECOVER is broken" : "RECOVER held");
        return broken ? 1 : 0;
    }

    /** Returns the longest part of a span in which each check said ready, if enough clients tried. */
    private long readyMillis(long from, long until) {
        long longest = 0;
        long since = -1;
        long last = -1;
        for (Check check : checks) {
            if (check.atMillis < from || check.atMillis > until) {
                continue;
            }
            since = check.status != 200 ? -1 : since < 0 ? check.atMillis : since;
            last = check.atMillis;
            if (since >= 0 && last - since > longest && triedBetween(since, last) >= MANY_CLIENTS) {
                longest = last - since;
            }
        }
        return longest;
    }

    private long triedBetween(long from, long until) {
        return tries.stream().filter(each -> each.openedMillis >= from && each.openedMillis <= until).count();
    }
}
