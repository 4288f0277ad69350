package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A runner that registers itself in the store and holds its models from the start. */
final class Runner {
    /** Works on a request; returns whether the channel stays open. */
    interface Work {
        boolean run(Wire.Call call, Socket channel) throws Exception;
    }

    final String id;
    private final String service;
    private final int slots;
    private final String model;
    private final Store store;
    private final Wire.Server server;
    private int beats;
    private final String version;
    private volatile boolean present = true;
    private volatile Work work;

    Runner(String id, String service, int slots, String model, String ip, Store store, Work work)
            throws IOException {
        this(id, service, "v1", slots, model, ip, store, work);
    }

    Runner(
            String id,
            String service,
            String version,
            int slots,
            String model,
            String ip,
            Store store,
            Work work)
            throws IOException {
        this.version = version;
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.model = model;
        this.store = store;
        this.work = work;
        this.server = new Wire.Server(ip, 0, this::handle);
        Wire.daemon(this::beat);
    }

    void work(Work newWork) {
        work = newWork;
    }

    private void beat() {
        try {
            while (present) {
                register("ready");
                Thread.sleep(1_200);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void register(String state) {
        store.put(
                "keyed.servers",
                id,
                "{\"service\":\""
                        + service
                        + "\",\"address\":\""
                        + server.address()
                        + "\",\"zone\":\"hall-a\",\"version\":\""
                        + version
                        + "\",\"slots\":"
                        + slots
                        + ",\"state\":\""
                        + state
                        + "\",\"cold_remaining_ms\":0,\"seq\":"
                        + ++beats
                        + ",\"stage\":\"both\",\"models\":["
                        + models()
                        + "]}");
    }

    private String models() {
        return model.isEmpty()
                ? ""
                : "{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}";
    }

    private boolean handle(Wire.Call call, Socket channel) throws Exception {
        if (call.path().equals("/tamaracktrack/report")) {
            String report =
                    "{\"stage\":\"both\",\"models\":["
                            + models()
                            + "],\"busy\":false,\"seq\":0,\"waiting\":0,\"running\":0,"
                            + "\"kv_used\":0,\"kv_total\":132937,\"handles\":0}";
            Wire.answer(channel, 200, Map.of(), report.getBytes(StandardCharsets.UTF_8));
            return true;
        }
        String expected = call.header("X-Tamaracktrack-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            Wire.answer(
                    channel,
                    421,
                    Map.of(
                            "X-Tamaracktrack-Attempt-Id",
                            call.header("X-Tamaracktrack-Attempt-Id"),
                            "X-Tamaracktrack-Not-Executed",
                            "1"),
                    new byte[0]);
            return true;
        }
        if (call.path().equals("/tamaracktrack/order")) {
            // It has all that it may hold, and another order is always under way.
            Wire.answer(channel, 409, Map.of(), new byte[0]);
            return true;
        }
        if (call.path().equals("/health")) {
            Wire.answer(channel, 200, Map.of("X-Tamaracktrack-Instance-Id", id), new byte[0]);
            return true;
        }
        return work.run(call, channel);
    }

    /** The headers of an answer of its own. */
    static Map<String, String> sealed(Wire.Call call) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Tamaracktrack-Attempt-Id", call.header("X-Tamaracktrack-Attempt-Id"));
        headers.put(
                "X-Tamaracktrack-Response-Seal",
                "seal-" + call.header("X-Tamaracktrack-Attempt-Id"));
        return headers;
    }

    static boolean answer(Wire.Call call, Socket channel, int status, String body)
            throws IOException {
        Wire.answer(channel, status, sealed(call), body.getBytes(StandardCharsets.UTF_8));
        return true;
    }
}
