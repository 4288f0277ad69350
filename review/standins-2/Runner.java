import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A stand-in of a runner. It carries out orders at once, reports what it holds, writes its entry to
 * the store each second, and answers requests as its script says.
 */
final class Runner implements AutoCloseable {
    /** Answers a request whose body was not read yet; returns whether the channel is kept. */
    interface Script {
        boolean run(Web.Message request, Web.Channel channel) throws Exception;
    }

    final String id;
    final String service;
    final Store store;
    final Web.Server server;
    final Record record;
    final Set<String> models = new LinkedHashSet<>();
    volatile String version = "v1";
    volatile String state = "ready";
    volatile boolean registers = true;
    volatile Script script;
    volatile int slots = 64;
    private final String zone;
    private int orders;

    Runner(String id, String service, Store store, Record record, String... models)
            throws Exception {
        this.id = id;
        this.service = service;
        this.store = store;
        this.record = record;
        this.zone = "zone-a";
        this.models.addAll(List.of(models));
        script = (request, channel) -> answer(request, channel, 200, "answer of " + id);
        server = new Web.Server(this::handle);
        register();
        Web.start("beat " + id, this::beat);
    }

    private void beat() {
        while (!server.listener.isClosed()) {
            if (registers) {
                register();
            }
            try {
                Thread.sleep(1000);
            } catch (InterruptedException ended) {
                return;
            }
        }
    }

    /** Writes the entry of this runner. */
    synchronized void register() {
        List<String> held = new ArrayList<>();
        models.forEach(
                name -> held.add("{\"name\":\"" + name + "\",\"version\":1,\"adapters\":[]}"));
        store.put(
                "keyed.servers",
                id,
                "{\"service\":\"" + service + "\",\"address\":\"" + server.address()
                        + "\",\"zone\":\"" + zone + "\",\"version\":\"" + version
                        + "\",\"slots\":" + slots + ",\"state\":\"" + state
                        + "\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":["
                        + String.join(",", held) + "],\"seq\":" + orders + "}");
    }

    private boolean handle(Web.Message request, Web.Channel channel) throws Exception {
        if (request.path().equals("/tamaracktrack/report")) {
            Web.body(channel.in, request, false);
            channel.answer(200, Map.of("Content-Type", "application/json"), report());
            return true;
        }
        if (request.path().equals("/tamaracktrack/order")) {
            Web.body(channel.in, request, false);
            record.add("order", id, request.text());
            channel.answer(order(request.text()), Map.of(), Web.EMPTY);
            return true;
        }
        String expected = request.header("X-Tamaracktrack-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            Web.body(channel.in, request, false);
            channel.answer(421, Map.of("X-Tamaracktrack-Instance-Id", id), Web.EMPTY);
            return true;
        }
        return script.run(request, channel);
    }

    private synchronized byte[] report() {
        List<String> held = new ArrayList<>();
        models.forEach(
                name -> held.add("{\"name\":\"" + name + "\",\"version\":1,\"adapters\":[]}"));
        String text =
                "{\"stage\":\"both\",\"models\":[" + String.join(",", held)
                        + "],\"busy\":false,\"seq\":" + orders
                        + ",\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":90000,"
                        + "\"handles\":0}";
        return text.getBytes();
    }

    private synchronized int order(String text) {
        String model = field(text, "model");
        if (text.contains("\"adapter\"")) {
            return 400;
        }
        String expect = field(text, "expect");
        if (expect != null && Integer.parseInt(expect) != orders) {
            return 409;
        }
        orders++;
        if (text.contains("\"unload\"")) {
            models.remove(model);
        } else {
            models.add(model);
        }
        register();
        return 202;
    }

    private static String field(String text, String name) {
        java.util.regex.Matcher found =
                java.util.regex.Pattern.compile("\"" + name + "\":\"?([^\",}]*)").matcher(text);
        return found.find() ? found.group(1) : null;
    }

    /** Reads the body and answers with the seal. */
    boolean answer(Web.Message request, Web.Channel channel, int status, String text)
            throws Exception {
        Web.body(channel.in, request, false);
        record.add("run", id, request.header("X-Tamaracktrack-Attempt-Id"));
        channel.answer(status, seal(request), text.getBytes());
        return true;
    }

    static Map<String, String> seal(Web.Message request) {
        Map<String, String> headers = new LinkedHashMap<>();
        String attempt = request.header("X-Tamaracktrack-Attempt-Id");
        headers.put("X-Tamaracktrack-Attempt-Id", attempt);
        headers.put("X-Tamaracktrack-Response-Seal", "seal." + attempt);
        headers.put("Keep-Alive", "timeout=10");
        return headers;
    }

    @Override
    public void close() throws Exception {
        registers = false;
        server.close();
    }
}
