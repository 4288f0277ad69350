import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A stand-in of the platform's store, as far as the program uses it: log-append, log-read and
 * log-newest, with the header Store-Era. It loses nothing that it has acknowledged.
 */
final class Store implements AutoCloseable {
    private static final Map<String, String> JSON = Map.of("Content-Type", "application/json");

    /** Changes what the store does with a call. */
    interface Trouble {
        /** Returns the milliseconds that the call waits; a negative number loses the call. */
        long before(Web.Message call);
    }

    /** What one partition holds. */
    static final class Part {
        final List<byte[]> records = new ArrayList<>();
        long first;
    }

    private final Map<String, Part> parts = new HashMap<>();
    final Web.Server server;
    volatile int era = 1;
    volatile Trouble trouble = call -> 0;
    volatile boolean down;

    Store() throws Exception {
        server = new Web.Server(this::handle);
    }

    private boolean handle(Web.Message call, Web.Channel channel) throws Exception {
        Web.body(channel.in, call, false);
        long wait = trouble.before(call);
        if (wait < 0 || down) {
            return false;
        }
        if (wait > 0) {
            Thread.sleep(wait);
        }
        String name = call.path().substring(call.path().lastIndexOf('/') + 1);
        String part = call.query("topic") + "/" + call.query("part");
        switch (name) {
            case "log-append" -> append(call, channel, part);
            case "log-read" -> read(call, channel, part);
            case "log-newest" -> newest(call, channel, part);
            default -> channel.answer(404, headers(JSON), Web.EMPTY);
        }
        return true;
    }

    private Map<String, String> headers(Map<String, String> more) {
        Map<String, String> headers = new LinkedHashMap<>(more);
        headers.put("Store-Era", Integer.toString(era));
        return headers;
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private synchronized Part part(String name) {
        return parts.computeIfAbsent(name, any -> new Part());
    }

    private void append(Web.Message call, Web.Channel channel, String name) throws Exception {
        List<byte[]> added = new ArrayList<>();
        ByteBuffer bytes = ByteBuffer.wrap(call.body);
        while (bytes.hasRemaining()) {
            byte[] record = new byte[bytes.getInt()];
            bytes.get(record);
            added.add(record);
        }
        long offset;
        long end;
        boolean fits;
        synchronized (this) {
            Part part = part(name);
            offset = part.first + part.records.size();
            String at = call.query("at");
            fits = at == null || Long.parseLong(at) == offset;
            if (fits) {
                part.records.addAll(added);
                notifyAll();
            }
            end = part.first + part.records.size();
        }
        if (fits) {
            channel.answer(
                    200, headers(JSON), utf8("{\"offset\":" + offset + ",\"end\":" + end + "}"));
        } else {
            channel.answer(412, headers(JSON), utf8("{\"end\":" + end + "}"));
        }
    }

    private void read(Web.Message call, Web.Channel channel, String name) throws Exception {
        long from = Long.parseLong(call.query("from"));
        String waitText = call.query("wait_ms");
        long until = System.nanoTime() + 1_000_000L * (waitText == null ? 0 : Long.parseLong(waitText));
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        long expired = -1;
        synchronized (this) {
            int eraAtStart = era;
            Part part = part(name);
            while (from == part.first + part.records.size() && era == eraAtStart) {
                long millis = (until - System.nanoTime()) / 1_000_000L;
                if (millis <= 0) {
                    break;
                }
                wait(millis);
                part = part(name);
            }
            long end = part.first + part.records.size();
            if (from < part.first || from > end) {
                expired = part.first;
            } else {
                body.writeBytes(ByteBuffer.allocate(16).putLong(end).putLong(part.first).array());
                for (long next = from; next < end; next++) {
                    byte[] record = part.records.get((int) (next - part.first));
                    body.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
                    body.writeBytes(record);
                    if (body.size() > 1024 * 1024) {
                        break;
                    }
                }
            }
        }
        if (expired >= 0) {
            channel.answer(410, headers(JSON), utf8("{\"first\":" + expired + "}"));
        } else {
            channel.answer(
                    200,
                    headers(Map.of("Content-Type", "application/octet-stream")),
                    body.toByteArray());
        }
    }

    private void newest(Web.Message call, Web.Channel channel, String name) throws Exception {
        StringBuilder items = new StringBuilder();
        long end;
        synchronized (this) {
            Part part = part(name);
            end = part.first + part.records.size();
            Map<String, Long> offsets = new java.util.TreeMap<>();
            for (int index = 0; index < part.records.size(); index++) {
                byte[] record = part.records.get(index);
                offsets.put(key(record), part.first + index);
            }
            String after = call.query("after");
            for (Map.Entry<String, Long> entry : offsets.entrySet()) {
                byte[] record = part.records.get((int) (entry.getValue() - part.first));
                byte[] value = value(record);
                if (value.length > 0 && (after == null || entry.getKey().compareTo(after) > 0)) {
                    items.append(items.length() == 0 ? "" : ",")
                            .append("{\"key\":\"" + entry.getKey() + "\",\"value\":\"")
                            .append(Base64.getEncoder().encodeToString(value))
                            .append("\",\"offset\":" + entry.getValue() + "}");
                }
            }
        }
        channel.answer(
                200,
                headers(JSON),
                utf8("{\"items\":[" + items + "],\"has_more\":false,\"end\":" + end + "}"));
    }

    private static String key(byte[] record) {
        return new String(record, 1, Byte.toUnsignedInt(record[0]), StandardCharsets.UTF_8);
    }

    private static byte[] value(byte[] record) {
        int start = 1 + Byte.toUnsignedInt(record[0]);
        return java.util.Arrays.copyOfRange(record, start, record.length);
    }

    /** Writes a record of a keyed topic, as the operator and the runners do. */
    synchronized void put(String topic, String key, String value) {
        byte[] keyBytes = utf8(key);
        byte[] valueBytes = utf8(value);
        byte[] record =
                ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length)
                        .put((byte) keyBytes.length)
                        .put(keyBytes)
                        .put(valueBytes)
                        .array();
        part(topic + "/0").records.add(record);
        notifyAll();
    }

    /** Returns a copy of what the store holds now. */
    synchronized Map<String, List<byte[]>> copy() {
        Map<String, List<byte[]>> copy = new HashMap<>();
        parts.forEach((name, part) -> copy.put(name, new ArrayList<>(part.records)));
        return copy;
    }

    /** Comes back from a copy: what was written since is gone. */
    synchronized void restore(Map<String, List<byte[]>> copy) {
        parts.clear();
        copy.forEach((name, records) -> part(name).records.addAll(records));
        era++;
        notifyAll();
    }

    synchronized List<byte[]> records(String part) {
        return new ArrayList<>(part(part).records);
    }

    @Override
    public void close() throws Exception {
        server.close();
    }
}
